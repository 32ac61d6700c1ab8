package integration

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/cyclamenbeam/cyclamenbeam/internal/serviceapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// expectation is what a scenario says about an answer.
type expectation struct {
	status  int
	verdict string
	wait    bool // repeat until it holds
}

func (e *expectation) flags(f *flag.FlagSet, status int) {
	f.IntVar(&e.status, "status", status, "expected status; 0 is any")
	f.StringVar(&e.verdict, "verdict", "", "expected verdict")
	f.BoolVar(&e.wait, "wait", false, "repeat until the expectation holds")
}

// reply is an answer as scenarios look at it.
type reply struct {
	status  int
	verdict string
	body    []byte
}

func (e *expectation) check(r reply) error {
	if e.status != 0 && r.status != e.status {
		return fmt.Errorf("status %d, want %d: %s", r.status, e.status, r.body)
	}
	if e.verdict != "" && r.verdict != e.verdict {
		return fmt.Errorf("verdict %q, want %q: %s", r.verdict, e.verdict, r.body)
	}
	return nil
}

// until asks once, or again and again while the expectation does not hold.
func (e *expectation) until(ask func() (reply, error)) (reply, error) {
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		r, err := ask()
		if err == nil {
			err = e.check(r)
		}
		if err == nil || !e.wait || time.Now().After(deadline) {
			return r, err
		}
	}
}

// headerFlag collects headers, "Name: value" each.
type headerFlag http.Header

func (h headerFlag) String() string { return "" }

// Set implements flag.Value.
func (h headerFlag) Set(s string) error {
	name, value, ok := strings.Cut(s, ":")
	if !ok {
		return fmt.Errorf("%q is not Name: value", s)
	}
	http.Header(h).Add(name, strings.TrimSpace(value))
	return nil
}

// doHTTP sends a request and prints the body:
//
//	http [-status N] [-verdict V] [-wait] [-token T] [-H 'Name: value'] [-file F] [-last] METHOD URL [BODY]
//
// The token is a caller's unless one is given; an empty one is none. With -last
// the request ends whoever takes it, so that no answer need come.
func doHTTP(ts *testscript.TestScript, _ *script, args []string) error {
	f := flag.NewFlagSet("http", flag.ContinueOnError)
	var e expectation
	e.flags(f, http.StatusOK)
	token := f.String("token", ts.Getenv("token"), "")
	file := f.String("file", "", "body")
	last := f.Bool("last", false, "")
	header := headerFlag{}
	f.Var(header, "H", "header")
	if err := f.Parse(args); err != nil {
		return err
	}
	if err := need(f.Args(), 2, "http METHOD URL [BODY]"); err != nil {
		return err
	}
	body := []byte(f.Arg(2))
	if *file != "" {
		text, err := os.ReadFile(ts.MkAbs(*file))
		if err != nil {
			return err
		}
		body = text
	}
	if *token != "" {
		http.Header(header).Set("Authorization", "Bearer "+*token)
	}
	r, err := e.until(func() (reply, error) { return roundTrip(f.Arg(0), f.Arg(1), http.Header(header), body) })
	if err != nil && !*last {
		return err
	}
	_, err = ts.Stdout().Write(r.body)
	return err
}

// roundTrip makes one exchange on a connection of its own.
func roundTrip(method, url string, header http.Header, body []byte) (reply, error) {
	if !strings.HasPrefix(url, "http") {
		url = "http://" + url
	}
	r, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	r.Header = header.Clone()
	resp, err := patient.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, verdict: resp.Header.Get(verdict.Header), body: text}, err
}

// doOrder orders parts:
//
//	order [-status N] [-verdict V] [-wait] ENTRY KEY QUANTITY
//
// The answer is printed. An empty key sends none.
func doOrder(ts *testscript.TestScript, _ *script, args []string) error {
	f := flag.NewFlagSet("order", flag.ContinueOnError)
	var e expectation
	e.flags(f, http.StatusOK)
	if err := f.Parse(args); err != nil {
		return err
	}
	if err := need(f.Args(), 3, "order ENTRY KEY QUANTITY"); err != nil {
		return err
	}
	header := http.Header{"Authorization": {"Bearer " + ts.Getenv("token")}}
	if key := f.Arg(1); key != "" {
		header.Set(serviceapi.KeyHeader, key)
	}
	body := fmt.Sprintf(`{"part":"bolt-7","quantity":%s}`, f.Arg(2))
	r, err := e.until(func() (reply, error) {
		return roundTrip(http.MethodPost, f.Arg(0)+"/v1/services/parts/orders", header, []byte(body))
	})
	if err != nil {
		return err
	}
	_, err = ts.Stdout().Write(r.body)
	return err
}

// checkExecutions checks how often the service ran a key's order:
//
//	executions SERVICE KEY N
func checkExecutions(_ *testscript.TestScript, _ *script, args []string) error {
	if err := need(args, 3, "executions SERVICE KEY N"); err != nil {
		return err
	}
	runs, err := fetch[map[string]int]("http://" + args[0] + serviceapi.ExecutionsPath)
	if err != nil {
		return err
	}
	if got := strconv.Itoa(runs[args[1]]); got != args[2] {
		return fmt.Errorf("the order ran %s times, want %s", got, args[2])
	}
	return nil
}
