package comparison

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	panelWidth  = 14 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
	boxWidth    = 1 * vg.Centimeter
)

// panel is one box plot of a metric; each policy has a box over all seeds.
type panel struct {
	title, unit, metric string
}

func panels() []panel {
	return []panel{
		{"Urgent calls, 99th percentile", "ms", "urgent p99, ms"},
		{"Batch work done", "1000 s", "batch work done, 1000 s"},
		{"Evictions", "count", "evictions"},
		{"Flood by one customer: rise of another's p99", "%", "flood: rise of another's p99, %"},
	}
}

// drawPlots writes one SVG file with all panels, one below the other.
func drawPlots(all []seedResults, path string) error {
	ps := panels()
	canvas := vgsvg.New(panelWidth, panelHeight*vg.Length(len(ps)))
	dc := draw.New(canvas)
	tiles := draw.Tiles{Rows: len(ps), Cols: 1, PadY: 5 * vg.Millimeter}
	for i, p := range ps {
		plotted, err := drawPanel(all, p)
		if err != nil {
			return err
		}
		plotted.Draw(tiles.At(dc, 0, i))
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return eris.Wrapf(err, "make directory of %s", path)
	}
	f, err := os.Create(path)
	if err != nil {
		return eris.Wrapf(err, "create %s", path)
	}
	defer f.Close()
	_, err = canvas.WriteTo(f)
	return eris.Wrapf(err, "write %s", path)
}

func drawPanel(all []seedResults, p panel) (*plot.Plot, error) {
	out := plot.New()
	out.Title.Text = fmt.Sprintf("%s (%d seeds)", p.title, len(all))
	out.Y.Label.Text = p.unit
	out.Y.Min = 0
	var names []string
	for i, c := range contenders() {
		names = append(names, c.name)
		values := plotter.Values(metricNamed(p.metric).values(all, i))
		box, err := plotter.NewBoxPlot(boxWidth, float64(i), values)
		if err != nil {
			return nil, eris.Wrapf(err, "plot %s", p.metric)
		}
		out.Add(box)
	}
	out.NominalX(names...)
	return out, nil
}

func metricNamed(name string) metric {
	for _, m := range metrics() {
		if m.name == name {
			return m
		}
	}
	return metrics()[0]
}
