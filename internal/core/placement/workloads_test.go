package placement_test

import (
	"flag"
	"math"
	"strings"
	"testing"
	"time"

	"mulberrylug.example/mulberrylug/internal/trial"
)

var policyWorkloads = flag.String("policy.workloads", "greedy,reclaimed,shift",
	"workloads to run: steady, bursty, heavy, shift, prefixes, greedy, unequal, reclaimed")

// workloadSeeds is the number of seeds with which each workload is run.
const workloadSeeds = 5

// workloadsNamed returns the workloads in a comma-separated list of names.
func workloadsNamed(names string) []trial.Workload {
	all := []trial.Workload{
		trial.Steady(), trial.Bursty(), trial.Heavy(), trial.Shift(), trial.Prefixes(),
		trial.Greedy(), trial.Unequal(), trial.Reclaimed(),
	}
	var out []trial.Workload
	for _, w := range all {
		if strings.Contains(","+names+",", ","+w.Name+",") {
			out = append(out, w)
		}
	}
	return out
}

// stallOfOthers returns the stall time of all organisations except the greedy one.
func stallOfOthers(r trial.Result) time.Duration {
	sum := time.Duration(0)
	for org, s := range r.ByOrg {
		if org != trial.GreedyOrg {
			sum += s
		}
	}
	return sum
}

func meanStallOfOthers(list []trial.Result) float64 {
	sum := time.Duration(0)
	for _, r := range list {
		sum += stallOfOthers(r)
	}
	return sum.Seconds() / float64(len(list))
}

// TestPolicyWorkloads runs each workload at the higher draining load of the two strongest
// baselines. With Periyar's weights the stall time, and with Matrica's weights the preemptions,
// must not exceed those of the baselines.
func TestPolicyWorkloads(t *testing.T) {
	strong := []trial.Maker{trial.Baselines()[3], trial.Watermark()}
	s := seeds(*policySeed, workloadSeeds)
	for _, w := range workloadsNamed(*policyWorkloads) {
		w = shortenUnderRace(w)
		drainingLoad := 0.0
		for _, b := range strong {
			drainingLoad = max(drainingLoad, trial.DrainingRate(w, b, s, lowestRate/2, 2*highestRate))
		}
		w.Rate = drainingLoad
		m := &results{baselines: map[float64][]trial.Result{}}
		t.Logf("workload=%s rate=%.2f", w.Name, drainingLoad)
		for _, b := range strong {
			list := trial.Seeds(w, b, s)
			m.baselines[1] = append(m.baselines[1], trial.Median(list))
			t.Logf("workload=%s others_stall_s=%.0f %s", w.Name, meanStallOfOthers(list), trial.Median(list).Line("any", 1))
		}
		ours := map[string]trial.Result{}
		for name, weights := range deployments {
			list := trial.Seeds(w, trial.Homes("homes", weights), s)
			ours[name] = trial.Median(list)
			t.Logf("workload=%s others_stall_s=%.0f %s", w.Name, meanStallOfOthers(list), ours[name].Line(name, 1))
			if ours[name].Unanswered != 0 || ours[name].Refused != 0 {
				t.Errorf("%s: unanswered or refused requests, want none: %s", w.Name, ours[name].Line(name, 1))
			}
		}
		checkAtMost(t, w.Name+": stall", stall(ours["periyar"]), m.lowest(1, anyBaseline, stall))
		checkAtMost(t, w.Name+": preemptions", preemptions(ours["matrica"]), m.lowest(1, noWatermark, preemptions))
	}
}

// TestPolicyShapes compares one home for each pool with a home at each entry for that entry's own
// requests, and the latter with gossip between the entries. With one home per pool, the measure
// that matters most to each deployment must be the best. Geometric means are compared, as stall
// times differ much between seeds.
func TestPolicyShapes(t *testing.T) {
	s := seeds(*policySeed, shapeSeeds)
	w := workload(1)
	w.Rate = shapeRate
	measures := map[string]func(trial.Result) float64{"periyar": stall, "matrica": preemptions}
	for name, weights := range deployments {
		home := trial.Seeds(w, trial.Homes("homes", weights), s)
		t.Logf("mean=%.0f %s", geometricMean(home, measures[name]), trial.Median(home).Line(name, 1))
		for _, m := range []trial.Maker{trial.EntriesAlone(weights), trial.Gossip(weights)} {
			list := trial.Seeds(w, m, s)
			t.Logf("mean=%.0f %s", geometricMean(list, measures[name]), trial.Median(list).Line(name, 1))
			checkAtMost(t, name+": main measure with one home, compared with "+m.Name,
				geometricMean(home, measures[name]), geometricMean(list, measures[name]))
		}
	}
}

const (
	// shapeRate is about the draining load of the heavy-tailed workload, in requests a second.
	shapeRate  = 18.5
	shapeSeeds = 10
)

// geometricMean returns the geometric mean of a measure, which may be 0 in some results.
func geometricMean(list []trial.Result, of func(trial.Result) float64) float64 {
	sum := 0.0
	for _, r := range list {
		sum += math.Log(of(r) + 1)
	}
	return math.Exp(sum/float64(len(list))) - 1
}
