package peer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/core/budget"
	"mulberrylug.example/mulberrylug/internal/core/config"
	"mulberrylug.example/mulberrylug/internal/core/msg"
	"mulberrylug.example/mulberrylug/internal/core/placement"
	"mulberrylug.example/mulberrylug/internal/core/ratelimit"
	"mulberrylug.example/mulberrylug/internal/core/roster"
	"mulberrylug.example/mulberrylug/internal/core/route"
)

// sampleAttempt is an attempt id of realistic length.
const sampleAttempt = "entry-123:0123abcd:100000/1"

// sampleRequest returns a placement request with values of realistic length.
func sampleRequest() placement.Request {
	return placement.Request{
		Attempt: sampleAttempt, Org: "organisation-12345", Fingerprint: 1 << 60, Prompt: 512, MaxOutput: 1024,
		Prefix: []uint64{1 << 60, 1 << 61, 1 << 62, 1 << 63, 1 << 60, 1 << 61, 1 << 62, 1 << 63}, MaxWait: 20 * time.Second, FirstTarget: 1800 * time.Millisecond,
	}
}

// sampleHeartbeat returns a heartbeat with values of realistic length.
func sampleHeartbeat() msg.Heartbeat {
	return msg.Heartbeat{
		Name: "entry-123", DataCentre: "dc-a", CallerAddress: "127.100.100.100:8000",
		PeerAddress: "127.100.100.100:7200", Boot: "1z141z3", Ready: true,
	}
}

// sampleRateStatement returns a statement with values of realistic length.
func sampleRateStatement() msg.RateStatement {
	return msg.RateStatement{Upstream: "engine-123", Boot: "1790000000000", Stated: true, PerSecond: 4.3, Age: time.Second}
}

// packConfig returns the form in which a configuration is sent between instances. Packing never
// fails for a small configuration.
func packConfig(c *route.Config) msg.PackedConfig {
	p, err := msg.PackConfig(c)
	if err != nil {
		panic(err)
	}
	return p
}

var sampleOrigin = msg.StreamOrigin{
	Organisation: "dispatch-17", Request: "dd61a774d451c223", Service: "assistant", Software: "v1.2", Upstream: "i-12ed2566be", Born: 1_790_000_000_000,
	Age: 120 * time.Millisecond, Keep: 7 * time.Second,
}

// samples returns a message of each kind with values as they occur at the target size. maxBytes
// is the maximum size of the frame.
func samples() []struct {
	name     string
	msg      msg.Message
	maxBytes int
} {
	running := msg.RunningAttempt{Request: sampleRequest(), Upstream: "engine-123", Tokens: 128, Pace: 7120 * time.Microsecond}
	running.Request.Prefix = nil
	limits := config.Limits{
		Spend: 1 << 40, Period: "day", RequestsPerSecond: 50, TokensPerSecond: 20_000, MaxOutputTokens: 4096, Concurrent: 64,
	}
	return []struct {
		name     string
		msg      msg.Message
		maxBytes int
	}{
		{"grant_ask", msg.GrantRequest{Pool: "assistant-12@dc-a", Request: sampleRequest()}, 200},
		{"grant_answer", msg.GrantResponse{
			Pool: "assistant-12@dc-a", Address: "127.100.100.100:8000", TTL: time.Second,
			Decision: placement.Decision{Attempt: sampleAttempt, Kind: placement.Granted, Upstream: "engine-123"},
		}, 130},
		{"grant_end", msg.GrantEnd{Pool: "assistant-12@dc-a", Attempt: sampleAttempt, Tokens: 250}, 80},
		{"reserve_ask", msg.ReserveRequest{Request: budget.Request{
			RequestID: sampleAttempt, Org: "organisation-12345", Limits: limits, Amount: 409_600, Tokens: 1024,
		}}, 130},
		{"reserve_answer", msg.ReserveResponse{Response: budget.Response{Org: "organisation-12345", RequestID: sampleAttempt, Granted: true}}, 85},
		{"settle", msg.Settle{Org: "organisation-12345", Request: sampleAttempt, Used: 100_000, Tokens: 250}, 85},
		{"strike", msg.Strike{Fingerprint: 1 << 60, Upstream: "engine-123"}, 50},
		{"config_told", msg.ConfigVersion{Number: 100_000, Hash: fmt.Sprintf("%064x", 1)}, 100},
		{"announce_empty", msg.Announce{Pool: "assistant-12@dc-a"}, 50},
		{"announce_one", msg.Announce{Pool: "assistant-12@dc-a", Running: []msg.RunningAttempt{running}}, 150},
		{"strikes_ask", msg.StrikesRequest{}, 20},
		{"strikes", msg.Strikes{List: []msg.Strike{{Fingerprint: 1 << 60, Upstream: "engine-123", Boot: "0123456789abcdef"}}}, 70},
		{"adopted", msg.Adopted{Request: sampleAttempt, Attempt: sampleAttempt}, 80},
		{"follow_ask", msg.FollowRequest{Pool: "assistant-12@dc-a", Attempts: []string{sampleAttempt}}, 70},
		{"follow_answer", msg.FollowResponse{Pool: "assistant-12@dc-a", Attempts: []string{sampleAttempt}, Following: []string{sampleAttempt}}, 110},
		{"config_ask", msg.ConfigRequest{}, 40},
		{"config_object_ask", msg.ConfigObjectRequest{Hash: fmt.Sprintf("%064x", 1)}, 90},
		{"config_object_part", msg.ConfigObjectPart{Hash: fmt.Sprintf("%064x", 1), Data: []byte("part")}, 110},
		{"leaving", msg.Leaving{}, 20},
		{"explain_ask", msg.ExplainRequest{ID: 1, Request: sampleAttempt}, 60},
		{"heartbeat", sampleHeartbeat(), 90},
		{"join_ask", msg.JoinRequest{Sender: sampleHeartbeat(), Digest: 1 << 63}, 110},
		{"join_answer", msg.JoinResponse{Eligible: true, Instances: slices.Repeat([]msg.Heartbeat{sampleHeartbeat()}, 390)}, 35_000},
		{"presences", msg.Presences{List: slices.Repeat([]msg.Presence{{
			Source: "entry-123", DataCentre: "dc-a", Digest: 1 << 63, Age: time.Second,
		}}, 8)}, 400},
		{"presences_whole", msg.Presences{List: []msg.Presence{{
			Source: "entry-123", DataCentre: "dc-a", Digest: 1 << 63, Members: slices.Repeat([]msg.Heartbeat{sampleHeartbeat()}, 78),
		}}}, 7_000},
		{"presence_ask", msg.PresenceRequest{Sources: []string{"entry-123"}}, 40},
		{"sync_ask", msg.SyncRequest{Number: 100_000, Config: 100_000, List: roster.ListRequest{Version: 100_000}}, 40},
		{"sync_answer_empty", msg.SyncResponse{Number: 100_000, ConfigAge: time.Second}, 40},
		{"sync_answer", msg.SyncResponse{
			Number: 100_000, ConfigAge: time.Second, Config: packConfig(&route.Config{Version: 7}),
			List: &roster.ListUpdate{Version: 100_000, Groups: []roster.GroupCopy{{
				Group: roster.Undivided("assistant-12"),
				List: []roster.Change{{ID: "engine-123", Version: 100_000, Valid: true, Entry: roster.Entry{
					ID: "engine-123", Service: "assistant-12", Address: "127.100.100.100:8000", DataCentre: "dc-a", Slots: 64,
				}}},
			}}},
		}, 150},
		{"move_order", msg.MoveOrder{
			Pool: "assistant-12", Attempt: sampleAttempt, Number: 100_000, From: "engine-123", To: "engine-124", ToAddress: "127.100.100.100:8000",
		}, 120},
		{"moved", msg.MoveResult{Pool: "assistant-12", Attempt: sampleAttempt, Number: 100_000, Outcome: msg.MoveDone}, 80},
		{"failing", msg.UpstreamFailing{Upstream: "engine-123", Born: 1_790_000_000_000}, 50},
		{"rate_stated", sampleRateStatement(), 60},
		{"permit_ask", msg.PermitRequest{ID: sampleAttempt + "/permit-1", Limit: sampleRateStatement(), Rank: 1, MaxWait: time.Second, MaxLateWait: time.Second}, 120},
		{"permit_answer", msg.PermitResponse{ID: sampleAttempt + "/permit-1", Outcome: ratelimit.Refused, Wait: time.Second, TTL: time.Second, Limit: sampleRateStatement()}, 120},
		{"upstream_leaving", msg.UpstreamLeaving{Upstream: "engine-123", Boot: "1790000000000"}, 50},
		{"ranked_grant_request", msg.RankedGrantRequest{
			Grant: msg.GrantRequest{Pool: "assistant-12@dc-a", Request: sampleRequest()}, Rank: 1, TimeLeft: 39 * time.Second,
		}, 215},
		{"upstream_speed", msg.UpstreamSpeed{Pool: "assistant-12@dc-a", Upstream: "engine-123", Boot: "1790000000000", Percent: 250, Age: time.Second}, 75},
		{"tunnel_request", msg.TunnelRequest{Upstream: "engine-123", Address: "10.123.123.123:8426", Timeout: 500 * time.Millisecond}, 65},
		{"tunnel_response", msg.TunnelResponse{Status: msg.TunnelNoRoom}, 40},
		{"with_software", msg.WithSoftware{Move: &msg.MoveOrder{Pool: "assistant", Attempt: "dd61a774d451c223", Number: 7, From: "i-12ed2566be", To: "i-b0f4be2b86", ToAddress: "10.1.64.36:8483", ToDataCentre: "kochi-a"}, Software: []string{"v1.2"}}, 140},
		{"stream_origins", msg.StreamOrigins{Number: 7, List: []msg.StreamOrigin{sampleOrigin}}, 140},
		{"origins_stored", msg.OriginsStored{Number: 7}, 20},
		{"origin_request", msg.OriginRequest{Number: 7, Organisation: "dispatch-17", Request: "dd61a774d451c223", Service: "assistant", Window: 22 * time.Second}, 80},
		{"origin_response", msg.OriginResponse{Number: 7, Origin: &sampleOrigin, Sole: "v1.2"}, 140},
		{"crash_evidence", msg.CrashEvidence{Strike: msg.Strike{Fingerprint: 1 << 60, Upstream: "engine-123", Boot: "1790000000000", Age: time.Second}, Parts: []uint64{1 << 60, 1 << 61}}, 90},
		{"parts_sound", msg.PartsSound{Parts: []uint64{1 << 60, 1 << 61}, Age: time.Second}, 45},
		{"instance_load", msg.InstanceLoad{Name: "entry-123", Boot: "1z141z3", Percent: 80}, 45},
		{"permit_cancel", msg.PermitCancel{ID: sampleAttempt + "/permit-1", Upstream: "engine-123", Boot: "1790000000000"}, 85},
		{"begun", msg.FirstToken{Pool: "assistant-12@dc-a", Attempt: sampleAttempt}, 80},
		{"explain_answer", msg.ExplainResponse{ID: 1, Lines: []string{"time=2026-01-01T00:00:00Z request=entry-1:0:1 step=finish"}}, 90},
	}
}

// At the target size each instance may use 20 KB a second for control messages. Frames that grow
// unnoticed would exceed that budget.
func TestFrameSizes(t *testing.T) {
	for _, s := range samples() {
		frame, err := Encode("entry-321", s.msg)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("message=%s bytes=%d", s.name, len(frame))
		if len(frame) > s.maxBytes {
			t.Errorf("frame size of %s = %d bytes, want at most %d", s.name, len(frame), s.maxBytes)
		}
	}
}

// BenchmarkEncode measures the encoding of each sample message.
func BenchmarkEncode(b *testing.B) {
	for _, s := range samples() {
		b.Run(s.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				frame, err := Encode("entry-321", s.msg)
				if err != nil {
					b.Fatal(err)
				}
				b.SetBytes(int64(len(frame)))
			}
		})
	}
}
