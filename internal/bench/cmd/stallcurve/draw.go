package main

import (
	"fmt"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/dandelionring/dandelionring/internal/bench/policy"
)

// Size of the plot.
const (
	width  = 16 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// drawCurve plots the batch fill over the total wait for adapters, with one point per
// StallWeight and a cross for the baseline, and writes the plot to path. It returns an
// error if a point cannot be plotted, the file name extension is unknown or the file
// cannot be written.
func drawCurve(points []policy.Point, baseline policy.Point, path string) error {
	chart := plot.New()
	chart.Title.Text = "StallWeight in deployment 2"
	chart.X.Label.Text = "total wait for adapters (s)"
	chart.Y.Label.Text = "batch fill"
	curve := make(plotter.XYs, len(points))
	labels := make([]string, len(points))
	for i, point := range points {
		curve[i] = plotter.XY{X: point.Wait.Seconds(), Y: point.Fill}
		labels[i] = fmt.Sprintf(" %.1f", point.StallWeight)
	}
	line, marks, err := plotter.NewLinePoints(curve)
	if err != nil {
		return errors.Wrap(err, "create line")
	}
	weightLabels, err := plotter.NewLabels(plotter.XYLabels{XYs: curve, Labels: labels})
	if err != nil {
		return errors.Wrap(err, "create labels")
	}
	baselineMark, err := plotter.NewScatter(plotter.XYs{{X: baseline.Wait.Seconds(), Y: baseline.Fill}})
	if err != nil {
		return errors.Wrap(err, "create baseline marker")
	}
	baselineMark.Shape = draw.CrossGlyph{}
	chart.Add(plotter.NewGrid(), line, marks, weightLabels, baselineMark)
	chart.Legend.Add("scheduler", line, marks)
	chart.Legend.Add("LRU, least loaded copy", baselineMark)
	if err := chart.Save(width, height, path); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}
