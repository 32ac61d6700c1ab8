package report

import (
	_ "embed" // for page.html
	"html/template"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))
