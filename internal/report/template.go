package report

import (
	_ "embed" // of the page
	"html/template"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))
