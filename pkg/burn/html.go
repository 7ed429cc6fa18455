package burn

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(share float64) float64 { return 100 * share },
}).Parse(page))

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 2.5 * vg.Inch
)

// plotted is a plan with its plot.
type plotted struct {
	PlanReport
	Plot template.HTML
}

// WriteHTML writes the report as one page without references to other files.
func (report Report) WriteHTML(out io.Writer) error {
	content := struct {
		Report
		Plotted []plotted
		Windows []string
	}{Report: report}
	for _, window := range Windows {
		content.Windows = append(content.Windows, windowName(window))
	}
	for _, plan := range report.Plans {
		svg, err := plan.plot()
		if err != nil {
			return err
		}
		content.Plotted = append(content.Plotted, plotted{plan, template.HTML(svg)}) //nolint:gosec // made by this program
	}
	if err := pageTemplate.Execute(out, content); err != nil {
		return errors.Wrap(err, "write burn page")
	}
	return nil
}

// plot draws the burn rate of every objective for each hour as SVG.
func (plan PlanReport) plot() ([]byte, error) {
	figure := plot.New()
	figure.Title.Text = "Burn rate by hour"
	figure.X.Label.Text = "hours before the report"
	figure.Y.Label.Text = "burn rate"
	figure.Y.Min = 0
	figure.Legend.Top = true
	for i, objective := range plan.Objectives {
		points := make(plotter.XYs, len(objective.Hours))
		for hour, rate := range objective.Hours {
			points[hour] = plotter.XY{X: float64(hour - len(objective.Hours) + 1), Y: rate}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, errors.Wrap(err, "plot burn rate")
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		figure.Add(line)
		figure.Legend.Add(string(objective.Objective), line)
	}
	limit := plotter.NewFunction(func(float64) float64 { return 1 })
	limit.Dashes = plotutil.Dashes(len(plan.Objectives))
	figure.Add(limit)
	figure.Legend.Add("budget", limit)
	figure.Y.Max = max(figure.Y.Max, 2)
	canvas := vgsvg.New(plotWidth, plotHeight)
	figure.Draw(draw.New(canvas))
	var text bytes.Buffer
	if _, err := canvas.WriteTo(&text); err != nil {
		return nil, errors.Wrap(err, "draw burn rate")
	}
	// The XML declaration may not stand inside of a page.
	_, svg, _ := bytes.Cut(text.Bytes(), []byte("<svg"))
	return append([]byte("<svg"), svg...), nil
}
