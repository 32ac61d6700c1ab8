package plot

import (
	"encoding/xml"
	"strings"
	"text/template"
)

// svgTemplate is the template of the SVG element. Names come from users and are
// escaped.
var svgTemplate = template.Must(template.New("svg").Funcs(template.FuncMap{
	"text": escape,
	"px":   func(v float64) string { return formatPixel(v) },
	"add":  func(a, b float64) float64 { return a + b },
}).Parse(`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {{.Width}} {{.Height}}" width="{{.Width}}" height="{{.Height}}" role="img" aria-label="{{text .Title}}" font-family="system-ui, sans-serif" font-size="12" fill="#222">
<rect width="{{.Width}}" height="{{.Height}}" fill="#fff"/>
<text class="title" x="{{px .Left}}" y="{{.TitleY}}" font-size="16" font-weight="600">{{text .Title}}</text>
<text class="subtitle" x="{{px .Left}}" y="{{.SubtitleY}}" fill="#555">{{text .Subtitle}}</text>
{{- if .Empty}}
<text x="{{px .XMiddle}}" y="{{px .YMiddle}}" text-anchor="middle" fill="#555">no values</text>
{{- else}}
<g class="legend">
{{- range .Legend}}
<path d="{{.Marker.Path}}" fill="{{.Colour}}"/><text x="{{px .X}}" y="{{px .Y}}">{{text .Name}}</text>
{{- end}}
</g>
<g class="y-axis">
{{- range .YTicks}}
<line x1="{{px $.Left}}" x2="{{px $.Right}}" y1="{{px .At}}" y2="{{px .At}}" stroke="#e3e3e3"/><text x="{{px (add $.Left -8)}}" y="{{px (add .At 4)}}" text-anchor="end">{{.Label}}</text>
{{- end}}
</g>
<g class="x-axis">
<line x1="{{px .Left}}" x2="{{px .Right}}" y1="{{px .Bottom}}" y2="{{px .Bottom}}" stroke="#222"/>
{{- range .XTicks}}
<line x1="{{px .At}}" x2="{{px .At}}" y1="{{px $.Bottom}}" y2="{{px (add $.Bottom 5)}}" stroke="#222"/><text x="{{px .At}}" y="{{px (add $.Bottom 19)}}" text-anchor="middle">{{.Label}}</text>
{{- end}}
</g>
<g class="marks">
{{- range .MarkLines}}
<line x1="{{px $.Left}}" x2="{{px $.Right}}" y1="{{px .Y}}" y2="{{px .Y}}" stroke="#444" stroke-dasharray="6 4"/><text x="{{px (add $.Left 6)}}" y="{{px (add .Y -5)}}" fill="#444" font-style="italic">{{text .Name}}</text>
{{- end}}
</g>
<g class="events">
{{- range .EventLines}}
<line x1="{{px .X}}" x2="{{px .X}}" y1="{{px $.Top}}" y2="{{px $.Bottom}}" stroke="#b00020" stroke-dasharray="3 3"/><text x="{{px (add .X 5)}}" y="{{px (add $.Top 12)}}" fill="#b00020">{{text .Name}}</text>
{{- end}}
</g>
{{- range .Lines}}
<g class="series">
<path d="{{.Path}}" fill="none" stroke="{{.Colour}}" stroke-width="2" stroke-linejoin="round"/>
{{- if .Marked}}{{range .Markers}}
<path d="{{.Path}}" fill="{{.Colour}}"/>
{{- end}}{{end}}
{{- if .Markers}}
<path d="M{{px (add .EndX 5)}} {{px .EndY}}L{{px (add $.Right 14)}} {{px .LabelY}}" stroke="{{.Colour}}" stroke-width="0.7" fill="none"/><text class="label" x="{{px (add $.Right 17)}}" y="{{px (add .LabelY 4)}}" fill="{{.Colour}}">{{text .Name}}</text>
{{- end}}
</g>
{{- end}}
{{- end}}
<text class="x-label" x="{{px .XMiddle}}" y="{{px (add .Bottom 44)}}" text-anchor="middle">{{text .XLabel}}</text>
<text class="y-label" transform="translate(18 {{px .YMiddle}}) rotate(-90)" text-anchor="middle">{{text .YLabel}}</text>
</svg>
`))

func escape(s string) string {
	var b strings.Builder
	// Writing to a strings.Builder never fails.
	_ = xml.EscapeText(&b, []byte(s))
	return b.String()
}
