// Package template holds closing templates: their form and its checks, the
// change of one by an operator, the revisions a daemon has in force, and how
// daemons spread them. Everything but Parse is a plain decision: no clock,
// goroutine, socket or log.
//
// A template is one object of the platform's object API. The object's version
// is the template's version; it grows with each write to the store, so the
// versions of all templates stand in one order. Nothing here ever applies a
// lower version of a name, and a deletion is a tombstone with a version.
package template

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("template")

// Kind is the object kind of templates in the object API. An object's name is
// its template's name.
const Kind = "template"
