package report

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// page is the template of the HTML page. Plots are inline, so that the page loads nothing
// else.
var page = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>stoneworks: requests</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}</style>
</head><body>
<h1>Requests</h1>
{{if .Sampled}}<p>{{.Sampled}} of {{.Requests}} requests are represented by samples: their counts are estimates.</p>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>
{{.Picture}}
{{end}}{{range .Tables}}<h2>{{.Title}}</h2>
<table><tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{end}}</body></html>
`))

type picture struct {
	Title   string
	Picture template.HTML
}

type table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// WriteHTML writes the report as one self-contained HTML page with plots over time.
func (r *Report) WriteHTML(w io.Writer) error {
	var lines []any
	for o := range outcomeCount {
		lines = append(lines, o.String(), r.series(func(t *Tally) int { return t.Outcomes[o] }))
	}
	results, err := r.plot("outcomes", lines)
	if err != nil {
		return err
	}
	lines = nil
	for _, c := range Causes {
		lines = append(lines, string(c), r.series(func(t *Tally) int { return t.Causes[c] }))
	}
	causes, err := r.plot("causes of requests not answered in time", lines)
	if err != nil {
		return err
	}
	return page.Execute(w, map[string]any{
		"Sampled": r.Sampled, "Requests": r.All.Requests(),
		"Plots": []picture{results, causes}, "Tables": r.tables(),
	})
}

// series returns a count of each span, per second.
func (r *Report) series(figure func(t *Tally) int) plotter.XYs {
	points := make(plotter.XYs, len(r.Spans))
	for i := range r.Spans {
		points[i].X = r.Spans[i].Start.Sub(r.Spans[0].Start).Seconds()
		points[i].Y = float64(figure(&r.Spans[i].Tally)) / r.Every.Seconds()
	}
	return points
}

// plot draws named series as lines.
func (r *Report) plot(title string, lines []any) (picture, error) {
	p := plot.New()
	p.X.Label.Text = "seconds from " + r.Spans[0].Start.Format("2006-01-02 15:04:05")
	p.Y.Label.Text = "requests a second"
	p.Legend.Top = true
	if err := plotutil.AddLines(p, lines...); err != nil {
		return picture{}, err
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return picture{}, err
	}
	_, svg, found := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !found {
		return picture{}, &PlotError{Title: title}
	}
	// The picture is drawn above from numbers and this package's own names, so it needs no
	// escaping.
	return picture{Title: title, Picture: template.HTML("<svg" + string(svg))}, nil
}

// PlotError reports that a plot could not be drawn.
type PlotError struct {
	Title string
}

// Error implements error.
func (e *PlotError) Error() string { return fmt.Sprintf("plot of %s: no SVG element", e.Title) }

func (r *Report) tables() []table {
	services := table{Title: "by service", Header: append([]string{"service"}, columns()...)}
	for i := range r.Services {
		services.Rows = append(services.Rows, cells(r.Services[i].Name, &r.Services[i].Tally))
	}
	services.Rows = append(services.Rows, cells("all", &r.All))
	spans := table{Title: "by time", Header: append([]string{"from"}, columns()...)}
	for i := range r.Spans {
		spans.Rows = append(spans.Rows, cells(r.Spans[i].Start.Format("15:04:05"), &r.Spans[i].Tally))
	}
	return []table{services, spans}
}
