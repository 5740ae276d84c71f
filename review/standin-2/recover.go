package main

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// recoverCase adds the three spare machines, removes the seven old ones in turn, and at the end kills all processes at
// once, which then start again: rule RECOVER. Without trouble, no machine is added or removed.
func recoverCase(p *play) (int, error) {
	const (
		addAt      = 6 * time.Second
		removeAt   = 12 * time.Second
		gap        = 2 * time.Second
		killAt     = 34 * time.Second
		back       = 500 * time.Millisecond
		recoveryIn = 12 * time.Second // recovery_s
	)
	left := machines
	// The last machines of the zones leave first.
	order := slices.SortedStableFunc(slices.Values(machines), func(a, b machine) int { return cmp.Compare(a.number, b.number) })
	end := p.begin.Add(killAt + back + recoveryIn + 10*time.Second)
	fault := make(chan error, 1)
	go func() {
		if p.trouble {
			left = spares
			time.Sleep(addAt)
			for _, m := range spares {
				if err := p.site.startMachine(m, false); err != nil {
					fault <- err
					return
				}
				p.printf("%8.3f machine edge-%s-%d is added", p.since(time.Now()), zones[m.zone], m.number)
			}
			time.Sleep(removeAt - addAt)
			for _, m := range slices.Backward(order) {
				p.printf("%8.3f machine edge-%s-%d gets SIGTERM and leaves", p.since(time.Now()), zones[m.zone], m.number)
				go p.site.remove(m)
				time.Sleep(gap)
			}
		}
		time.Sleep(time.Until(p.begin.Add(killAt)))
		for _, m := range left {
			p.site.kill(m)
		}
		p.printf("%8.3f all processes are killed", p.since(time.Now()))
		time.Sleep(back)
		for _, m := range left {
			if err := p.site.startMachine(m, false); err != nil {
				fault <- err
				return
			}
		}
		p.printf("%8.3f all processes start again", p.since(time.Now()))
		fault <- nil
	}()
	p.clients.run(p.begin, end, p.perSecond)
	if err := <-fault; err != nil {
		return failed, err
	}
	share := func(from, to time.Duration) (float64, string) {
		served, all := 0, 0
		for _, one := range p.clients.attempts {
			if since := one.at.Sub(p.begin); since >= from && since < to {
				all++
				if one.status == 200 {
					served++
				}
			}
		}
		return float64(served) / float64(max(all, 1)), fmt.Sprintf("%d of %d", served, all)
	}
	before, textBefore := share(0, killAt)
	after, textAfter := share(killAt+back+recoveryIn, time.Hour)
	p.writeAttempts()
	p.printf("before the final fault %s attempts were served, later than recovery_s after it %s", textBefore, textAfter)
	if before >= 0.25 && after < 0.25 {
		p.printf("RECOVER: less than a quarter is served")
		return broken, nil
	}
	return held, nil
}
