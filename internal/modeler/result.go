package modeler

import (
	"math"
	"slices"
	"sync"
	"time"
)

// windowLength is the length of the windows over which worth is averaged to find the worst ones.
const windowLength = 2 * time.Second

// KindResult holds the outcomes of one kind of request under one policy, over all seeds.
type KindResult struct {
	Name     string
	Requests int
	InTarget float64       // share of the requests answered within the latency target
	Late     float64       // share answered after the target, within the deadline
	Failed   float64       // share without an answer within the deadline
	Coverage float64       // mean over the answers, as a share of the shards
	Median   time.Duration // latency of the answers
	P99      time.Duration
}

// Result holds the outcomes of all requests under one policy, over all seeds.
type Result struct {
	Policy string
	// Worth is the worth of the answers as a share of the worth of full answers to all requests within their targets, and
	// WorstWindows is its mean over the two worst windows of each seed.
	Worth        float64
	WorstWindows float64
	// ExtraAttempts is the number of attempts beyond one for each request and shard, as a share of the latter.
	ExtraAttempts float64
	Kinds         []KindResult
	WindowWorth   []float64         // worth of each window of the first seed
	Latencies     [][]time.Duration // sorted, by kind of request
}

// Compare simulates a scenario under each policy with consecutive seeds from first on.
func Compare(scenario *Scenario, policies []Policy, first uint64, seeds int) []Result {
	results := make([]Result, len(policies))
	var running sync.WaitGroup
	for i, policy := range policies {
		running.Go(func() { results[i] = evaluate(scenario, policy, first, seeds) })
	}
	running.Wait()
	return results
}

// evaluate simulates a scenario under one policy.
func evaluate(scenario *Scenario, policy Policy, first uint64, seeds int) Result {
	result := Result{Policy: policy.Name, Latencies: make([][]time.Duration, len(scenario.Kinds))}
	kinds := make([]KindResult, len(scenario.Kinds))
	var earned, possible, worst, attempts, required float64
	for seed := range uint64(seeds) {
		sim := newSimulation(scenario, policy, first+seed)
		sim.run()
		windows := sim.worthByWindow()
		if seed == 0 {
			result.WindowWorth = windows
		}
		worst += mean(slices.Sorted(slices.Values(windows))[:min(2, len(windows))])
		attempts += float64(sim.attemptCount)
		required += float64(sim.requestCount * scenario.Shards)
		for i := range sim.outcomes {
			o := &sim.outcomes[i]
			possible += scenario.Kinds[o.kind].Worth
			earned += sim.worthOf(o)
			kinds[o.kind].add(&scenario.Kinds[o.kind], o)
			if o.answered {
				result.Latencies[o.kind] = append(result.Latencies[o.kind], o.latency)
			}
		}
	}
	for i := range kinds {
		slices.Sort(result.Latencies[i])
		kinds[i].setShares(scenario.Kinds[i].Name, result.Latencies[i])
	}
	result.Kinds, result.Worth, result.WorstWindows = kinds, earned/possible, worst/float64(seeds)
	result.ExtraAttempts = attempts/required - 1
	return result
}

// worthOf returns the worth of the answer, zero if there was none in time.
func (sim *simulation) worthOf(o *requestOutcome) float64 {
	k := &sim.scenario.Kinds[o.kind]
	worth := k.Worth * o.coverage * o.coverage
	switch {
	case !o.answered:
		return 0
	case o.latency > time.Duration(k.Target):
		return worth * k.LateWorth
	default:
		return worth
	}
}

// worthByWindow returns the share of the possible worth in each window; a request belongs to the window in which it was
// sent.
func (sim *simulation) worthByWindow() []float64 {
	count := int(time.Duration(sim.scenario.Length) / windowLength)
	earned, possible := make([]float64, max(count, 1)), make([]float64, max(count, 1))
	for i := range sim.outcomes {
		o := &sim.outcomes[i]
		window := min(int(o.sentAt/windowLength), len(earned)-1)
		earned[window] += sim.worthOf(o)
		possible[window] += sim.scenario.Kinds[o.kind].Worth
	}
	for i := range earned {
		earned[i] /= max(possible[i], math.SmallestNonzeroFloat64)
	}
	return earned
}

// add counts an outcome; until setShares is called, the shares and the coverage hold sums.
func (k *KindResult) add(kind *Kind, o *requestOutcome) {
	k.Requests++
	switch {
	case !o.answered:
		k.Failed++
	case o.latency > time.Duration(kind.Target):
		k.Late++
	default:
		k.InTarget++
	}
	if o.answered {
		k.Coverage += o.coverage
	}
}

// setShares turns the sums into shares and means; latencies must be sorted.
func (k *KindResult) setShares(name string, latencies []time.Duration) {
	k.Name = name
	requests := float64(max(k.Requests, 1))
	k.Coverage /= float64(max(len(latencies), 1))
	k.InTarget, k.Late, k.Failed = k.InTarget/requests, k.Late/requests, k.Failed/requests
	if len(latencies) > 0 {
		k.Median, k.P99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(max(len(values), 1))
}
