package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
)

// outputs are the formats of listings.
var outputs = []string{"table", "json", "yaml"}

func checkOutput(form string) error {
	if !slices.Contains(outputs, form) {
		return &exitError{status: exitUsage, err: Error.New("--output %q is none of %s", form, strings.Join(outputs, ", "))}
	}
	return nil
}

// table is a listing's rows, each as long as the header.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, 0, len(cells))
	for _, c := range cells {
		row = append(row, fmt.Sprint(c))
	}
	t.rows = append(t.rows, row)
}

func (t *table) write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(tw, strings.Join(row, "\t"))
	}
	return tw.Flush()
}

// print writes a listing in the given format: v as JSON or YAML, or else t as a
// table.
func print(w io.Writer, form string, v any, t *table) error {
	switch form {
	case "json":
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return Error.Wrap(enc.Encode(v))
	case "yaml":
		data, err := yaml.MarshalWithOptions(v, yaml.UseJSONMarshaler())
		if err != nil {
			return Error.Wrap(err)
		}
		_, err = w.Write(data)
		return Error.Wrap(err)
	default:
		return Error.Wrap(t.write(w))
	}
}
