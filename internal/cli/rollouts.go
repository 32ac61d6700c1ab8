package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/cyclamenbeam/cyclamenbeam/internal/node"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/platform/store"
)

// rolloutsTimeout bounds the call to the store.
const rolloutsTimeout = 5 * time.Second

func newRollouts(a *app) *cobra.Command {
	var address, output string
	cmd := &cobra.Command{
		Use:   "rollouts --store HOST:PORT",
		Short: "Show the roll-outs of services: state, shares, evidence, and why they ended",
		Long: `Read from the platform's store what the decider keeps of each service's newest
roll-out. It is written each second, and at once when the phase changes.`,
		Example: `  cyclamenbeam rollouts --store 10.200.1.7:8225
  cyclamenbeam rollouts --store 10.200.1.7:8225 --output json`,
		Args: cobra.NoArgs,
		RunE: withExitStatus(func(cmd *cobra.Command, _ []string) error {
			return a.rollouts(cmd.Context(), address, output)
		}),
	}
	cmd.Flags().StringVar(&address, "store", "", "the platform's store")
	cmd.Flags().StringVarP(&output, "output", "o", "table", "table, json or yaml")
	_ = cmd.MarkFlagRequired("store")
	return cmd
}

func (a *app) rollouts(ctx context.Context, address, output string) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutsTimeout)
	defer cancel()
	all, _, err := store.New(address).List(ctx, node.RolloutRecordKind)
	if err != nil {
		return err
	}
	list := make([]rollout.Record, 0, len(all))
	for _, o := range all {
		var r rollout.Record
		if err := json.Unmarshal(o.Spec, &r); err != nil {
			return Error.New("record of the roll-out of %q: %v", o.Name, err)
		}
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y rollout.Record) int { return cmp.Compare(x.Order.Service, y.Order.Service) })
	return printListing(a.stdout, output, list, rolloutTable(list))
}

func rolloutTable(list []rollout.Record) *table {
	t := &table{header: []string{"SERVICE", "TARGET", "PHASE", "DEADLINE", "SHARE", "REQUESTS", "TO TARGET", "ANSWERS", "BAD", "CHANCE", "REASON"}}
	for i := range list {
		r := &list[i]
		t.add(r.Order.Service, r.Order.Target, r.Phase.String(), r.Deadline().UTC().Format(time.RFC3339),
			fmt.Sprintf("%.3f", r.Share), fmt.Sprint(r.Asked), fmt.Sprint(r.Exposed), fmt.Sprint(r.Answers), fmt.Sprint(r.Bad),
			fmt.Sprintf("%.2g", r.Chance), r.Reason)
	}
	return t
}
