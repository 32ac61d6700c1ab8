package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// Mistake is one wrong value. Path is a YAML path such as "$.listen.callers".
type Mistake struct {
	Path    string
	Message string
}

// Policies are the routing policies that a file may name.
var Policies = []string{"cyclamenbeam", "round-robin", "least-outstanding", "random-of-two", "pure-affinity"}

// check returns every mistake, not the first alone, so that an operator mends
// a file in one go.
func (s *Settings) check() []Mistake {
	c := &checker{}
	c.require("$.instance", string(s.Instance))
	c.require("$.dataCentre", string(s.DataCentre))
	c.require("$.region", string(s.Region))
	c.address("$.listen.callers", s.Listen.Callers)
	c.address("$.listen.operators", s.Listen.Operators)
	c.address("$.listen.peers", s.Listen.Peers)
	c.baseURL("$.platform.objects", s.Platform.Objects)
	c.baseURL("$.platform.instances", s.Platform.Instances)
	c.baseURL("$.platform.cloud", s.Platform.Cloud)
	c.baseURL("$.platform.weights", s.Platform.Weights)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("$.seeds[%d]", i), seed)
	}
	s.checkTLS(c)
	for i, o := range s.Operators {
		c.operator(fmt.Sprintf("$.operators[%d]", i), o)
	}
	s.Limits.check(c)
	c.positive("$.entries.maxAge", s.Entries.MaxAge)
	c.atLeast("$.entries.subset", int64(s.Entries.Subset), 2)
	c.oneOf("$.routing.policy", s.Routing.Policy, Policies)
	c.positive("$.routing.firstToken", s.Routing.FirstToken)
	c.positive("$.routing.betweenTokens", s.Routing.BetweenTokens)
	c.positive("$.routing.loadInterval", s.Routing.LoadInterval)
	c.positive("$.control.listInterval", s.Control.ListInterval)
	c.positive("$.control.probeInterval", s.Control.ProbeInterval)
	c.atLeast("$.control.fleetReads", int64(s.Control.FleetReads), 1)
	c.atLeast("$.control.fleetWrites", int64(s.Control.FleetWrites), 1)
	c.oneOf("$.log.format", s.Log.Format, []string{"text", "json"})
	c.oneOf("$.log.level", s.Log.Level, []string{"debug", "info", "warn", "error"})
	return c.mistakes
}

// checkTLS refuses plain text off loopback unless the file says so plainly: a
// bearer token sent in clear over a network is a token given away.
func (s *Settings) checkTLS(c *checker) {
	c.pair("$.tls.callers", s.TLS.Callers)
	c.pair("$.tls.operators", s.TLS.Operators)
	c.pair("$.tls.peers", KeyPair{Certificate: s.TLS.Peers.Certificate, Key: s.TLS.Peers.Key})
	if s.TLS.Peers.Certificate != "" {
		c.require("$.tls.peers.authority", s.TLS.Peers.Authority)
		c.require("$.tls.peers.gossipKey", s.TLS.Peers.GossipKey)
	}
	if s.AllowPlainText {
		return
	}
	c.plain("$.listen.callers", s.Listen.Callers, s.TLS.Callers.Certificate)
	c.plain("$.listen.operators", s.Listen.Operators, s.TLS.Operators.Certificate)
	c.plain("$.listen.peers", s.Listen.Peers, s.TLS.Peers.Certificate)
}

func (l *Limits) check(c *checker) {
	c.atLeast("$.limits.maxBodyBytes", l.MaxBodyBytes, 1<<10)
	c.atLeast("$.limits.maxHeaderBytes", int64(l.MaxHeaderBytes), 4<<10)
	c.atLeast("$.limits.maxConnections", int64(l.MaxConnections), 1)
	c.atLeast("$.limits.maxMessages", int64(l.MaxMessages), 1)
	c.atLeast("$.limits.maxTokens", int64(l.MaxTokens), 1)
	c.atLeast("$.limits.maxRequests", int64(l.MaxRequests), 1)
	c.positive("$.limits.readTimeout", l.ReadTimeout)
	c.positive("$.limits.requestTimeout", l.RequestTimeout)
	c.positive("$.limits.writeTimeout", l.WriteTimeout)
	c.positive("$.limits.retain", l.Retain)
	c.atLeast("$.limits.retainBytes", l.RetainBytes, 1<<20)
}

type checker struct{ mistakes []Mistake }

func (c *checker) add(path, format string, args ...any) {
	c.mistakes = append(c.mistakes, Mistake{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) require(path, v string) {
	if v == "" {
		c.add(path, "is required")
	}
}

func (c *checker) address(path, v string) {
	if v == "" {
		c.add(path, "is required, as host:port")
		return
	}
	if _, _, err := net.SplitHostPort(v); err != nil {
		c.add(path, "%q is not host:port", v)
	}
}

func (c *checker) baseURL(path, v string) {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add(path, "%q is not an http or https URL", v)
	}
}

func (c *checker) positive(path string, d time.Duration) {
	if d <= 0 {
		c.add(path, "must be a duration above zero, such as 10s")
	}
}

func (c *checker) atLeast(path string, v, least int64) {
	if v < least {
		c.add(path, "is %d; the least is %d", v, least)
	}
}

func (c *checker) oneOf(path, v string, choices []string) {
	if !slices.Contains(choices, v) {
		c.add(path, "%q is none of %q", v, choices)
	}
}

func (c *checker) pair(path string, p KeyPair) {
	if (p.Certificate == "") != (p.Key == "") {
		c.add(path, "certificate and key go together")
	}
}

func (c *checker) plain(path, address, certificate string) {
	if certificate != "" || Loopback(address) {
		return
	}
	c.add(path, "%q has no TLS and is not loopback; set tls, or allowPlainText: true", address)
}

func (c *checker) operator(path string, o Operator) {
	c.require(path+".name", o.Name)
	sum, err := hex.DecodeString(o.TokenSHA256)
	if err != nil || len(sum) != 32 {
		c.add(path+".tokenSHA256", "is not a SHA-256 in hex")
	}
}

// Loopback reports whether an address, host:port, is reachable on this machine alone.
func Loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	if host == "localhost" {
		return true
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Locate turns mistakes into one error whose lines carry line and column; a
// key that is absent from the file has no place and is named by its path alone.
func Locate(data []byte, mistakes []Mistake) error {
	if len(mistakes) == 0 {
		return nil
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	var all []error
	for _, m := range mistakes {
		place := ""
		if p, err := yaml.PathString(m.Path); err == nil {
			if node, err := p.FilterFile(file); err == nil && node != nil {
				at := node.GetToken().Position
				place = fmt.Sprintf("[%d:%d] ", at.Line, at.Column)
			}
		}
		all = append(all, Error.New("%s%s %s", place, m.Path[2:], m.Message))
	}
	return errors.Join(all...)
}
