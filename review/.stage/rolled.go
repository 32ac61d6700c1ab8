package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// orderWork is how long a server works on an order, which a consumer waits orderDeadline for.
	orderWork     = 900 * time.Millisecond
	orderDeadline = 1500 * time.Millisecond
	// orderEvery is the time between two orders of all consumers together.
	orderEvery    = 5 * time.Millisecond
	orderingFor   = 24 * time.Second
	orderingUsers = 60
	// rollAt is when the first daemon is stopped, and rollGap the time until the next one is.
	rollAt  = 5 * time.Second
	rollGap = time.Second
	// restartDelay is the time from a daemon's end to its next start.
	restartDelay = 500 * time.Millisecond
)

// order is one attempt of a consumer.
type order struct {
	id      string
	daemon  string // address
	sent    time.Time
	ended   time.Time
	written bool // the whole request
	answer  answer
}

// playRolled has consumers send orders that may run once, while three daemons are stopped and
// started in turn. An order that a daemon passed on must get an answer.
func playRolled(s *stage, trouble bool) (bool, error) {
	s.store.put("config", "main", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "orders", "host": host, "path_prefix": "/orders/", "route_type": "non_idempotent", "timeout_ms": orderDeadline.Milliseconds(),
			"target_latency_ms": 1000, "priority": 1, "service": "counter", "max_attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "counter", "health_path": "/health", "max_connections": 290, "protocol": "h1"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "dealer", "api_keys": []string{key}}},
	})
	var servers []*server
	for i := range 6 {
		v := &server{
			config:  serverConfig{id: fmt.Sprintf("i-counter-%d", i+1), work: orderWork, bytes: 800},
			service: "counter", zone: zones[i%len(zones)],
		}
		if err := s.startServer(v); err != nil {
			return false, err
		}
		servers = append(servers, v)
	}
	if err := s.addDaemons(3); err != nil {
		return false, err
	}
	time.Sleep(contact)

	terms := map[string]time.Time{} // by the address for callers
	var mu sync.Mutex
	var roll sync.WaitGroup
	if trouble {
		roll.Go(func() {
			time.Sleep(rollAt)
			for _, d := range s.daemons {
				mu.Lock()
				terms[s.callers(d)] = time.Now()
				mu.Unlock()
				s.record.say("SIGTERM to %s", d.name)
				d.process.signal(syscall.SIGTERM)
				roll.Go(func() { s.startAgain(d) })
				time.Sleep(rollGap)
			}
		})
	}
	orders := s.order()
	roll.Wait()
	runs := map[string][2]int64{} // when servers began and ended them
	for _, v := range servers {
		for _, line := range v.runs() {
			s.record.write("%s %s", v.config.id, line)
			f := strings.Fields(line)
			at, _ := strconv.ParseInt(f[2], 10, 64)
			r := runs[f[1]]
			switch f[0] {
			case "ran":
				r[0] = at
			default:
				r[1] = at
			}
			runs[f[1]] = r
		}
	}
	return s.checkOrders(orders, terms, runs)
}

// startAgain waits for the end of a stopped daemon, kills it after the grace, and starts it
// again.
func (s *stage) startAgain(d *daemon) {
	began := time.Now()
	select {
	case <-d.process.done:
	case <-time.After(graceSeconds * time.Second):
		d.process.signal(syscall.SIGKILL)
		<-d.process.done
	}
	s.record.say("%s has ended after %.1f s", d.name, time.Since(began).Seconds())
	time.Sleep(restartDelay)
	if err := s.startDaemon(d); err != nil {
		s.record.say("%s was not started again: %v", d.name, err)
	}
}

// order sends orders from all consumers, each with its own view of the directory. Every third
// one keeps a response three times as long.
func (s *stage) order() []*order {
	var users []*directory
	for i := range orderingUsers {
		users = append(users, &directory{stage: s, zone: zones[i%3], keep: 1 + 2*float64(i%3/2)})
	}
	var orders []*order
	var wg sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < orderingFor; n++ {
		o := &order{id: fmt.Sprintf("o%06d", n)}
		orders = append(orders, o)
		wg.Go(func() { s.send(users[n%len(users)], o) })
		time.Sleep(orderEvery)
	}
	wg.Wait()
	return orders
}

// send makes one attempt on a new channel to an address drawn at random, or to another one
// if no channel can be had there.
func (s *stage) send(d *directory, o *order) {
	all := append([]string{}, d.current()...)
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, address := range all {
		ch, err := openChannel(address)
		if err != nil {
			continue
		}
		defer ch.c.Close()
		o.daemon, o.sent, o.written = address, time.Now(), true
		s.record.write("sent %s to %s", o.id, address)
		o.answer = ch.send(http.MethodPost, "/orders/new", o.id, orderDeadline, []byte("one filter for "+o.id))
		o.ended = time.Now()
		s.record.write("answered %s after %d ms: status %d, error %v", o.id, o.ended.Sub(o.sent).Milliseconds(), o.answer.status, o.answer.err)
		return
	}
	s.record.write("no channel for %s", o.id)
}

// checkOrders applies the rule LOST to the orders that were sent to a daemon from its SIGTERM
// until a second after the grace.
func (s *stage) checkOrders(orders []*order, terms map[string]time.Time, runs map[string][2]int64) (bool, error) {
	lost, served, unserved := 0, 0, 0
	for _, o := range orders {
		if o.answer.err == nil && o.answer.status == http.StatusOK {
			served++
			continue
		}
		unserved++
		term, ok := terms[o.daemon]
		run, ran := runs[o.id]
		switch {
		case !o.written || o.answer.err == nil:
			continue // refused, or a failure that was stated
		case !ok || o.ended.Before(term) || o.ended.After(term.Add(graceSeconds*time.Second+time.Second)):
			continue
		case !ran: // not passed on: it counts only later than loss_slack_ms, and is left out here
			continue
		case o.ended.Sub(o.sent) >= orderDeadline-50*time.Millisecond:
			continue // the deadline
		}
		const lastSixth = graceSeconds * time.Second * 5 / 6
		end := time.UnixMilli(run[1])
		if run[1] == 0 {
			end = o.ended
		}
		if o.sent.Sub(term) <= 3*time.Second && end.Sub(term) >= lastSixth {
			continue // the excuse of the rule
		}
		lost++
		s.record.say("lost: %s, sent %.2f s after the SIGTERM, passed on, and its channel ended after %.0f ms without an answer: %v",
			o.id, o.sent.Sub(term).Seconds(), o.ended.Sub(o.sent).Seconds()*1000, o.answer.err)
	}
	s.record.say("%d orders served, %d not, %d of them lost at a daemon that was stopped", served, unserved, lost)
	if served == 0 {
		return false, fmt.Errorf("nothing was served")
	}
	return lost > 0, nil
}
