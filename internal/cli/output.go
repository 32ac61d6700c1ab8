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

// outputFormats are the formats of listings.
var outputFormats = []string{"table", "json", "yaml"}

func checkOutput(format string) error {
	if !slices.Contains(outputFormats, format) {
		return &exitError{status: exitUsage, err: Error.New("--output %q is none of %s", format, strings.Join(outputFormats, ", "))}
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

// printListing writes a listing in the given format: v as JSON or YAML, or else
// t as a table.
func printListing(w io.Writer, format string, v any, t *table) error {
	switch format {
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
