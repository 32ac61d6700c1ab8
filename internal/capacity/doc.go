// Package capacity decides which instances to buy, to keep and to give back:
// the cheapest mix over data centres and machine classes that still carries the
// demand after the loss of the largest data centre.
//
// Purchases survive the planner. What is wanted stands in a Record that the
// caller writes to the object API before it carries out a launch; each Intent
// in it gives a client token, so whoever comes next launches with the same
// token and never buys twice. Figures and the ways weighed are in
// docs/adr/0010-capacity.md.
package capacity
