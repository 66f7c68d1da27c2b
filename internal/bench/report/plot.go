package report

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Series is one line of a chart, with the points (X[i], Y[i]).
type Series struct {
	Name string
	X    []float64
	Y    []float64
}

// Chart is a line chart; both axes begin at 0.
type Chart struct {
	Title string
	// X and Y are the labels of the axes.
	X      string
	Y      string
	Series []*Series
}

const (
	chartWidth  = 8 * vg.Inch
	chartHeight = 5 * vg.Inch
)

// Plot writes a chart to a file, in the format of its extension, such as .png.
func Plot(file string, c Chart) error {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.X
	p.Y.Label.Text = c.Y
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top = true
	for i, s := range c.Series {
		points := make(plotter.XYs, len(s.X))
		for k := range s.X {
			points[k] = plotter.XY{X: s.X[k], Y: s.Y[k]}
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			return fmt.Errorf("plot series %q: %w", s.Name, err)
		}
		line.Color, marks.Color = plotutil.Color(i), plotutil.Color(i)
		marks.Shape = plotutil.Shape(i)
		p.Add(line, marks)
		p.Legend.Add(s.Name, line, marks)
	}
	if err := p.Save(chartWidth, chartHeight, file); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}
