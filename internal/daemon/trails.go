package daemon

import (
	"cmp"
	"context"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/audit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/drain"
	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// History implements operator.Backend.
func (o *operators) History(ctx context.Context, name string) ([]operator.AuditEntry, error) {
	r, err := o.existing(ctx, name)
	if err != nil {
		return nil, err
	}
	return trail(template.Kind+"/"+name, r.Audit, r.Version), nil
}

func trail(object string, t audit.Trail, current uint64) []operator.AuditEntry {
	out := make([]operator.AuditEntry, 0, len(t.Entries))
	for i, e := range t.Entries {
		out = append(out, operator.AuditEntry{Object: object, Version: t.VersionAfter(i, current), Entry: e})
	}
	return out
}

// Audit implements operator.Backend.
func (o *operators) Audit(ctx context.Context) ([]operator.AuditEntry, error) {
	records, err := o.records(ctx)
	if err != nil {
		return nil, err
	}
	var out []operator.AuditEntry
	for _, r := range records {
		out = append(out, trail(template.Kind+"/"+r.Name, r.Audit, r.Version)...)
	}
	drains, err := o.objects.List(ctx, drain.Kind, "")
	if err != nil {
		return nil, err
	}
	for _, object := range drains.Objects {
		r, err := drain.RecordOf(object)
		if err != nil {
			return nil, err
		}
		out = append(out, trail(drain.Kind+"/"+object.Name, r.Audit, r.Version)...)
	}
	slices.SortStableFunc(out, func(a, b operator.AuditEntry) int {
		return cmp.Or(cmp.Compare(a.Entry.When, b.Entry.When), cmp.Compare(a.Version, b.Version))
	})
	return out, nil
}
