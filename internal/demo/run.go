package demo

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"mulberrylug.example/mulberrylug/client"
)

const (
	// bookingShare is the fraction of the requests that are bookings. The others are
	// generations.
	bookingShare = 0.3
	// unstreamedShare is the fraction of the generations that are requested as one
	// response. The others are streamed.
	unstreamedShare = 0.2
	// tightInterval is the number n for which every n-th request is a streamed generation
	// of the organisation with the tight limit, regardless of the fractions above.
	tightInterval = 25
	// meanArrivalInterval is the mean time between the starts of two requests.
	meanArrivalInterval = 15 * time.Millisecond
	// requestTimeout is the maximum duration of one request, with its retries.
	requestTimeout = 25 * time.Second
	// maxRetries is the maximum number of retries of a request after refusals.
	maxRetries = 3
	// settleDelay gives cancellations and settlements time to arrive before the
	// stand-ins' records are read.
	settleDelay = 500 * time.Millisecond
)

// Options sets up a demo run.
type Options struct {
	// Requests is the number of requests.
	Requests int
	// Seed determines the workload.
	Seed uint64
	// Faults injects faults during the run.
	Faults bool
	// Log receives the instances' log. Nil discards it.
	Log hclog.Logger
	// Progress, if not nil, is called after each request with the number of ended
	// requests and the number of all requests.
	Progress func(ended, of int)
}

// result is the result of one request as its caller got it.
type result struct {
	// booking is set for a booking. The request is a generation otherwise.
	booking bool
	// key is the idempotency key of a booking.
	key string
	// prompt is the prompt of a generation.
	prompt string
	// request is the request id.
	request string
	// text is the text that a generation produced, as far as it arrived.
	text string
	// body is the response body of a booking.
	body    []byte
	outcome client.Outcome
	reason  string
}

// Run starts a fleet, executes the workload and returns the report.
func Run(ctx context.Context, o Options) (Report, error) {
	fleetOptions := FleetOptions{Instances: 3, Engines: 3, Services: 2, Relays: o.Faults, Log: o.Log}
	f, err := StartFleet(ctx, fleetOptions)
	if err != nil {
		return Report{}, err
	}
	defer f.Stop()
	faults := func() []string { return nil }
	start := time.Now()
	if o.Faults {
		faults = startFaults(ctx, f, o)
	}
	results := drive(ctx, f, o)
	injected := faults()
	time.Sleep(settleDelay)
	r := verify(f, results)
	r.Faults = injected
	r.Overspend, err = overspend(collectRecords(f), Configuration(fleetOptions), start, time.Now())
	return r, err
}

// clients holds the clients of the demo's organisations.
type clients struct {
	ample, tight *client.Client
	// seeds holds the addresses of the instances, for requests without the client.
	seeds []string
}

func newClients(f *Fleet) *clients {
	seeds := f.Seeds()
	return &clients{
		ample: client.New(client.Options{Seeds: seeds, APIKey: ample.key, Retries: maxRetries}),
		// This client does not retry: a refusal for a used-up spend limit permits a retry
		// only in the next accounting period, after the end of the run.
		tight: client.New(client.Options{Seeds: seeds, APIKey: tight.key}),
		seeds: seeds,
	}
}

// job is one request of the workload.
type job struct {
	n                   int           // index of the request, from 0
	booking, unstreamed bool          // neither is set for a streamed generation
	promptWords         int           // words in a generation's prompt
	delay               time.Duration // time since the start of the previous request
}

// workload generates the requests of a run. The same seed gives the same requests.
func workload(o Options) []job {
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	jobs := make([]job, o.Requests)
	for n := range jobs {
		jobs[n] = job{
			n: n, booking: rng.Float64() < bookingShare, unstreamed: rng.Float64() < unstreamedShare,
			promptWords: 5 + rng.IntN(200), delay: time.Duration(rng.ExpFloat64() * float64(meanArrivalInterval)),
		}
	}
	return jobs
}

// drive sends the requests at the times that the seed determines and returns the results of
// the requests by request number.
func drive(ctx context.Context, f *Fleet, o Options) []result {
	c := newClients(f)
	results := make([]result, o.Requests)
	var wg sync.WaitGroup
	var mu sync.Mutex
	ended := 0
	for n, j := range workload(o) {
		time.Sleep(j.delay)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			results[n] = c.send(ctx, j)
			mu.Lock()
			defer mu.Unlock()
			ended++
			if o.Progress != nil {
				o.Progress(ended, o.Requests)
			}
		})
	}
	wg.Wait()
	return results
}

// send sends one request and returns its result.
func (c *clients) send(ctx context.Context, j job) result {
	switch {
	case j.n%tightInterval == tightInterval-1:
		return generate(ctx, c.tight, tight, j)
	case j.booking:
		return book(ctx, c.ample, j.n)
	case j.unstreamed:
		return generateUnstreamed(ctx, c.seeds, j)
	default:
		return generate(ctx, c.ample, ample, j)
	}
}

func book(ctx context.Context, cl *client.Client, n int) result {
	a := result{booking: true, key: fmt.Sprintf("refill-%d", n)}
	body := fmt.Appendf(nil, `{"cylinders":%d}`, n)
	res, err := cl.Do(ctx, client.Call{Service: "order-desk", Path: "/refills", Body: body, Key: a.key, NotRepeatable: true})
	a.request, a.body = res.RequestID, res.Body
	a.outcome, a.reason = outcomeOf(err)
	return a
}

// promptOf returns the prompt of a request. It is unique to the request and begins with
// the organisation's name, so that the engines' records identify the organisation of each
// generation.
func promptOf(org organisation, j job) string {
	return fmt.Sprintf("%s %d:", org.name, j.n) + strings.Repeat(" cylinder", j.promptWords)
}

func generate(ctx context.Context, cl *client.Client, org organisation, j job) result {
	a := result{prompt: promptOf(org, j)}
	res, err := cl.Stream(ctx, client.Completion{Model: model, Prompt: a.prompt}, nil)
	a.request, a.text = res.RequestID, res.Text
	a.outcome, a.reason = outcomeOf(err)
	return a
}

// outcomeOf returns the outcome and the reason that an error of the client stands for.
func outcomeOf(err error) (client.Outcome, string) {
	var p *client.Problem
	switch {
	case err == nil:
		return client.Done, ""
	case errors.As(err, &p):
		return p.Outcome, p.Reason
	default:
		return client.Unknown, err.Error()
	}
}
