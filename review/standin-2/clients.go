package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// userCount is the number of clients of the site zk-search.
const userCount = 65

// sent is one client attempt.
type sent struct {
	id       string
	at       time.Time
	deadline time.Duration
	host     string
	answered time.Time
	status   int // zero if there was no answer
	body     int
}

// clients send requests on one route, to the addresses that the directory names.
type clients struct {
	site     *site
	path     string
	deadline time.Duration
	once     bool // the requests may run once only

	mu       sync.Mutex
	attempts []*sent
	users    []*user

	pool *http.Transport
	work sync.WaitGroup
}

func newClients(s *site, path string, deadline time.Duration, once bool) *clients {
	c := &clients{site: s, path: path, deadline: deadline, once: once, pool: &http.Transport{MaxIdleConnsPerHost: 20,
		DisableCompression: true, IdleConnTimeout: 10 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for i := range userCount {
		c.users = append(c.users, &user{zone: i % len(zones), failed: map[string]bool{}})
	}
	return c
}

// user is one client of the directory: it keeps an answer for its lifetime, and longer if it can't obtain a new one, and
// leaves out the addresses that have failed it since.
type user struct {
	zone int

	mu        sync.Mutex
	addresses []string
	until     time.Time
	failed    map[string]bool
}

// address returns one of the addresses of the directory's last answer that have not failed the user, at random, or "".
func (c *clients) address(u *user) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if time.Now().After(u.until) {
		if answer, ok := askDirectory(c.site, u.zone); ok {
			u.addresses, u.failed = answer.addresses, map[string]bool{}
			u.until = time.Now().Add(answer.lifetime)
		}
	}
	usable := slices.DeleteFunc(slices.Clone(u.addresses), func(address string) bool { return u.failed[address] })
	if len(usable) == 0 {
		u.until = time.Time{}
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

// connectionFailed records that an address has failed the user.
func (u *user) connectionFailed(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failed[address] = true
	u.until = time.Time{}
}

// request sends a request and, after a failure, one retry within its deadline, as the pages say of clients.
func (c *clients) request() {
	end, u := time.Now().Add(c.deadline), c.users[rand.IntN(len(c.users))]
	for range 2 {
		left := time.Until(end)
		if left < 50*time.Millisecond {
			return
		}
		one, wait := c.attempt(u, left)
		promised := one.status == http.StatusServiceUnavailable
		if one.status >= 200 && one.status < 300 || c.once && !promised {
			return
		}
		time.Sleep(min(wait, time.Until(end)/3))
	}
}

// attempt sends one attempt and returns it with the time that the answer asks to wait.
func (c *clients) attempt(u *user, left time.Duration) (*sent, time.Duration) {
	address := c.address(u)
	one := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), deadline: left.Truncate(time.Millisecond), host: address, at: time.Now()}
	c.mu.Lock()
	c.attempts = append(c.attempts, one)
	c.mu.Unlock()
	if address == "" {
		one.host = "no address"
		return one, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	method, body := http.MethodGet, io.Reader(nil)
	if c.once {
		method, body = http.MethodPost, strings.NewReader(one.id)
	}
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+address+c.path+strconv.Itoa(rand.IntN(1<<30)), body)
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", one.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(one.deadline.Milliseconds(), 10))
	response, err := c.pool.RoundTrip(request)
	if err != nil {
		if dial := (*net.OpError)(nil); errors.As(err, &dial) && dial.Op == "dial" {
			u.connectionFailed(address)
		}
		return one, 0
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	one.answered, one.body = time.Now(), len(read)
	if err == nil {
		one.status = response.StatusCode
	}
	wait, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return one, time.Duration(wait * float64(time.Second))
}

// run sends requests at random times with the rate that perSecond states, until the end.
func (c *clients) run(begin, end time.Time, perSecond func(since time.Duration) float64) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond(time.Since(begin)) * float64(time.Second)))
		c.work.Go(c.request)
	}
	c.work.Wait()
}
