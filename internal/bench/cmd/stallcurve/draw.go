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

// The size of the picture.
const (
	width  = 16 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// drawCurve writes the curve of StallWeight: the total wait for adapters against the fill
// of the batches, one point for each weight, with the best baseline beside it.
func drawCurve(points []policy.Point, baseline policy.Point, path string) error {
	picture := plot.New()
	picture.Title.Text = "StallWeight in deployment 2"
	picture.X.Label.Text = "total wait for adapters (s)"
	picture.Y.Label.Text = "batch fill"
	curve := make(plotter.XYs, len(points))
	labels := make([]string, len(points))
	for i, point := range points {
		curve[i] = plotter.XY{X: point.Wait.Seconds(), Y: point.Fill}
		labels[i] = fmt.Sprintf(" %.1f", point.StallWeight)
	}
	line, marks, err := plotter.NewLinePoints(curve)
	if err != nil {
		return errors.Wrap(err, "draw line")
	}
	names, err := plotter.NewLabels(plotter.XYLabels{XYs: curve, Labels: labels})
	if err != nil {
		return errors.Wrap(err, "draw labels")
	}
	beside, err := plotter.NewScatter(plotter.XYs{{X: baseline.Wait.Seconds(), Y: baseline.Fill}})
	if err != nil {
		return errors.Wrap(err, "draw baseline")
	}
	beside.Shape = draw.CrossGlyph{}
	picture.Add(plotter.NewGrid(), line, marks, names, beside)
	picture.Legend.Add("scheduler", line, marks)
	picture.Legend.Add("LRU, least loaded copy", beside)
	if err := picture.Save(width, height, path); err != nil {
		return errors.Wrap(err, "save picture")
	}
	return nil
}
