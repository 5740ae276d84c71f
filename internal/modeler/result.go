package modeler

import (
	"math"
	"slices"
	"sync"
	"time"
)

// window is the length of the windows of which the worst are told.
const window = 2 * time.Second

// KindResult is what callers got for one kind of request.
type KindResult struct {
	Name     string
	Asked    int
	InTarget float64 // shares of the requests asked
	Late     float64
	Failed   float64
	Coverage float64 // mean of the answers
	Median   time.Duration
	P99      time.Duration
}

// Result is what callers got under one policy, over all seeds.
type Result struct {
	Policy string
	// Worth is the share of what could be earned, and Worst that of the two worst windows of each seed.
	Worth float64
	Worst float64
	// Extra is the attempts beyond one for each request and shard, as a share of these.
	Extra   float64
	Kinds   []KindResult
	Windows []float64         // worth by window of the first seed
	Times   [][]time.Duration // sorted times of the answers, by kind
}

// Compare plays a scenario with each policy over seeds from first on.
func Compare(scenario *Scenario, policies []Policy, first uint64, seeds int) []Result {
	results := make([]Result, len(policies))
	var running sync.WaitGroup
	for i, policy := range policies {
		running.Go(func() { results[i] = compare(scenario, policy, first, seeds) })
	}
	running.Wait()
	return results
}

func compare(scenario *Scenario, policy Policy, first uint64, seeds int) Result {
	result := Result{Policy: policy.Name, Times: make([][]time.Duration, len(scenario.Kinds))}
	kinds := make([]KindResult, len(scenario.Kinds))
	var earned, owed, worst, sent, least float64
	for seed := range uint64(seeds) {
		d := newDay(scenario, policy, first+seed)
		d.play()
		windows := d.windows()
		if seed == 0 {
			result.Windows = windows
		}
		worst += mean(slices.Sorted(slices.Values(windows))[:min(2, len(windows))])
		sent += float64(d.sent)
		least += float64(d.asked * scenario.Shards)
		for i := range d.outcomes {
			o := &d.outcomes[i]
			owed += scenario.Kinds[o.kind].Worth
			earned += d.worth(o)
			kinds[o.kind].count(&scenario.Kinds[o.kind], o)
			if o.served {
				result.Times[o.kind] = append(result.Times[o.kind], o.took)
			}
		}
	}
	for i := range kinds {
		slices.Sort(result.Times[i])
		kinds[i].finish(scenario.Kinds[i].Name, result.Times[i])
	}
	result.Kinds, result.Worth, result.Worst = kinds, earned/owed, worst/float64(seeds)
	result.Extra = sent/least - 1
	return result
}

// worth returns what an outcome earns.
func (d *day) worth(o *outcome) float64 {
	k := &d.scenario.Kinds[o.kind]
	worth := k.Worth * o.coverage * o.coverage
	switch {
	case !o.served:
		return 0
	case o.took > time.Duration(k.Target):
		return worth * k.LateWorth
	default:
		return worth
	}
}

// windows returns the worth of each window, by the time at which requests were sent.
func (d *day) windows() []float64 {
	count := int(time.Duration(d.scenario.Length) / window)
	earned, owed := make([]float64, max(count, 1)), make([]float64, max(count, 1))
	for i := range d.outcomes {
		o := &d.outcomes[i]
		at := min(int(o.sent/window), len(earned)-1)
		earned[at] += d.worth(o)
		owed[at] += d.scenario.Kinds[o.kind].Worth
	}
	for i := range earned {
		earned[i] /= max(owed[i], math.SmallestNonzeroFloat64)
	}
	return earned
}

// count adds an outcome; finish turns the sums into shares.
func (k *KindResult) count(kind *Kind, o *outcome) {
	k.Asked++
	switch {
	case !o.served:
		k.Failed++
	case o.took > time.Duration(kind.Target):
		k.Late++
	default:
		k.InTarget++
	}
	if o.served {
		k.Coverage += o.coverage
	}
}

func (k *KindResult) finish(name string, times []time.Duration) {
	k.Name = name
	asked := float64(max(k.Asked, 1))
	k.Coverage /= float64(max(len(times), 1))
	k.InTarget, k.Late, k.Failed = k.InTarget/asked, k.Late/asked, k.Failed/asked
	if len(times) > 0 {
		k.Median, k.P99 = times[len(times)/2], times[len(times)*99/100]
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(len(values), 1))
}
