// Package template implements closing templates. A closing is a deadline, such
// as the end of a month, before which the work of some workspaces peaks; its
// template states the models, services, limits and tokens of these workspaces.
// The package has the schema and its validation, the changes that operators
// make, the revisions that a daemon has in force (serves requests by), and the
// synchronisation of revisions between daemons. It uses no clock, goroutine,
// socket or log: callers pass the time and do all I/O.
//
// A template is one object of the platform's object API. The object's version
// is the template's version. It grows with each write to the store, so the
// versions of all templates are totally ordered. A lower version of a name
// never replaces a higher one, and a deletion is a tombstone with a version.
package template

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("template")

// Kind is the object kind of templates in the object API. An object has the
// name of its template.
const Kind = "template"
