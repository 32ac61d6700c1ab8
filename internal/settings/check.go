package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Policies are the routing policies that a file may name.
var Policies = []string{"cyclamenbeam", "round-robin", "least-outstanding", "random-of-two", "pure-affinity"}

// check returns all mistakes rather than the first, so that an operator can fix a
// file in one pass.
func (s *Settings) check() []Mistake {
	c := &checker{}
	c.require("instance", string(s.Instance))
	c.require("dataCentre", string(s.DataCentre))
	c.require("region", string(s.Region))
	c.address("listen.callers", s.Listen.Callers)
	c.address("listen.operators", s.Listen.Operators)
	c.address("listen.peers", s.Listen.Peers)
	c.advertised("callers", s.Advertise.Callers, s.Listen.Callers)
	c.advertised("peers", s.Advertise.Peers, s.Listen.Peers)
	c.baseURL("platform.objects", s.Platform.Objects)
	c.baseURL("platform.instances", s.Platform.Instances)
	c.baseURL("platform.cloud", s.Platform.Cloud)
	c.baseURL("platform.weights", s.Platform.Weights)
	for i, seed := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), seed)
	}
	s.checkTLS(c)
	s.checkOperators(c)
	s.Limits.check(c)
	if s.Entries.MaxAge < time.Second {
		c.add("entries.maxAge", "is %s; the least is 1s, since callers are told whole seconds", s.Entries.MaxAge)
	}
	c.atLeast("entries.subset", int64(s.Entries.Subset), 2)
	c.oneOf("routing.policy", s.Routing.Policy, Policies)
	c.positive("routing.firstToken", s.Routing.FirstToken)
	c.positive("routing.betweenTokens", s.Routing.BetweenTokens)
	c.positive("routing.loadInterval", s.Routing.LoadInterval)
	c.positive("control.listInterval", s.Control.ListInterval)
	c.positive("control.probeInterval", s.Control.ProbeInterval)
	if s.Control.StartSpread < 0 {
		c.add("control.startSpread", "must be a duration from 0")
	}
	c.atLeast("control.fleetReads", int64(s.Control.FleetReads), 1)
	c.atLeast("control.fleetWrites", int64(s.Control.FleetWrites), 1)
	c.atLeast("placement.modelsPerEngine", int64(s.Placement.ModelsPerEngine), 1)
	s.Capacity.check(c)
	c.oneOf("log.format", s.Log.Format, []string{"text", "json"})
	c.oneOf("log.level", s.Log.Level, []string{"debug", "info", "warn", "error"})
	return c.mistakes
}

// checkTLS rejects plain text on addresses other than loopback unless the file
// explicitly allows it: a bearer token sent in plain text can be read by others on
// the network.
func (s *Settings) checkTLS(c *checker) {
	c.keyPair("tls.callers", s.TLS.Callers)
	c.keyPair("tls.operators", s.TLS.Operators)
	c.keyPair("tls.peers", KeyPair{Certificate: s.TLS.Peers.Certificate, Key: s.TLS.Peers.Key})
	if s.TLS.Peers.Certificate != "" {
		c.require("tls.peers.authority", s.TLS.Peers.Authority)
		c.require("tls.peers.gossipKey", s.TLS.Peers.GossipKey)
	} else if s.TLS.Peers.Authority != "" {
		c.add("tls.peers.authority", "has no use without certificate and key")
	}
	if s.AllowPlainText {
		return
	}
	c.requireTLS("listen.callers", s.Listen.Callers, s.TLS.Callers.Certificate)
	c.requireTLS("listen.operators", s.Listen.Operators, s.TLS.Operators.Certificate)
	c.requireTLS("listen.peers", s.Listen.Peers, s.TLS.Peers.Certificate)
}

// maxOperatorNameBytes is the longest name that the audit trail accepts; every
// change by an operator with a longer name would be rejected.
const maxOperatorNameBytes = 64

func (s *Settings) checkOperators(c *checker) {
	seen := make(map[string]bool)
	for i, o := range s.Operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.require(path+".name", o.Name)
		if len(o.Name) > maxOperatorNameBytes {
			c.add(path+".name", "has more than %d bytes", maxOperatorNameBytes)
		}
		sum, err := hex.DecodeString(o.TokenSHA256)
		if err != nil || len(sum) != sha256.Size {
			c.add(path+".tokenSHA256", "is not the 64 hexadecimal digits of a SHA-256")
		}
		hash := strings.ToLower(o.TokenSHA256)
		if seen[hash] {
			c.add(path+".tokenSHA256", "stands twice; a token belongs to one operator")
		}
		seen[hash] = true
	}
}

func (l *Limits) check(c *checker) {
	c.atLeast("limits.maxBodyBytes", l.MaxBodyBytes, 1<<10)
	c.atLeast("limits.maxHeaderBytes", int64(l.MaxHeaderBytes), 4<<10)
	c.atLeast("limits.maxConnections", int64(l.MaxConnections), 1)
	c.atLeast("limits.maxMessages", int64(l.MaxMessages), 1)
	c.atLeast("limits.maxTokens", int64(l.MaxTokens), 1)
	c.atLeast("limits.maxRequests", int64(l.MaxRequests), 1)
	c.positive("limits.readTimeout", l.ReadTimeout)
	c.positive("limits.requestTimeout", l.RequestTimeout)
	c.positive("limits.writeTimeout", l.WriteTimeout)
	c.positive("limits.retain", l.Retain)
	c.atLeast("limits.retainBytes", l.RetainBytes, 1<<20)
}

func (p *Capacity) check(c *checker) {
	if p.Enabled && len(p.Classes) == 0 {
		c.add("capacity.classes", "needs at least one class when capacity is enabled")
	}
	c.positive("capacity.startTime", p.StartTime)
	c.positive("capacity.patience", p.Patience)
	c.positive("capacity.keepFor", p.KeepFor)
	for i, class := range p.Classes {
		path := fmt.Sprintf("capacity.classes[%d]", i)
		c.require(path+".name", class.Name)
		if class.TokensPerSecond <= 0 {
			c.add(path+".tokensPerSecond", "must be above 0")
		}
	}
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
	if !isAddress(v) {
		c.add(path, "%q is not host:port with a port from 1 to 65535", v)
	}
}

func isAddress(v string) bool {
	_, port, err := net.SplitHostPort(v)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

// advertised rejects addresses that others can't connect to. A listener may
// listen on all addresses, with the host 0.0.0.0 or an empty one; another machine
// that connects to such an address connects to itself.
func (c *checker) advertised(key, v, listener string) {
	host, _, _ := net.SplitHostPort(v)
	ip := net.ParseIP(host)
	switch {
	case v == listener && !isAddress(v):
		return // reported for the listener
	case !isAddress(v):
		c.address("advertise."+key, v)
	case host != "" && (ip == nil || !ip.IsUnspecified()):
		return
	case v == listener:
		c.add("listen."+key, "%q is no address to connect to; name in advertise.%s the one that others use", v, key)
	default:
		c.add("advertise."+key, "%q is no address to connect to", v)
	}
}

func (c *checker) baseURL(path, v string) {
	if v == "" {
		c.add(path, "is required, as http://host:port or https://host:port")
		return
	}
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
		c.add(path, "%q is none of %s", v, strings.Join(choices, ", "))
	}
}

func (c *checker) keyPair(path string, p KeyPair) {
	if (p.Certificate == "") != (p.Key == "") {
		c.add(path, "certificate and key go together")
	}
}

func (c *checker) requireTLS(path, address, certificate string) {
	if certificate != "" || !isAddress(address) || IsLoopback(address) {
		return
	}
	c.add(path, "%q has no TLS and is not loopback; set tls, or allowPlainText: true", address)
}

// IsLoopback reports whether an address, host:port, is reachable only from this
// machine.
func IsLoopback(address string) bool {
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
