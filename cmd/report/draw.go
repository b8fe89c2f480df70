package report

import (
	"image/color"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format

	"gorseline/core"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

var palette = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 214, G: 90, B: 20, A: 255}, color.RGBA{R: 44, G: 140, B: 60, A: 255},
}

// line is one named curve.
type line struct {
	name   string
	points plotter.XYs
	steps  bool // draws the value as constant until the next point
}

// FileNames are the file names of the plots of a report.
var FileNames = []string{"goodput.svg", "mix.svg", "roles.svg"}

// Draw writes the plots into a directory. The roles are drawn from the first point until
// the given time since the Unix epoch.
func Draw(directory string, points []Point, roles []RoleCounts, until time.Duration) error {
	goodput := curves(points, "offered", func(p Point) float64 { return p.Offered }, "goodput", func(p Point) float64 { return p.Goodput })
	mix := curves(points, "prompt tokens", func(p Point) float64 { return p.Prompt }, "output tokens", func(p Point) float64 { return p.Output })
	from := until
	if len(points) > 0 {
		from = points[0].At
	}
	for i, p := range []struct {
		title, unit string
		lines       []line
	}{
		{"Goodput: weight answered in time", "weight per second", goodput},
		{"Mix: tokens of the requests that ended", "tokens per second", mix},
		{"Roles of engines", "engines", roleLines(roles, from, until)},
	} {
		if err := draw(filepath.Join(directory, FileNames[i]), p.title, p.unit, p.lines); err != nil {
			return err
		}
	}
	return nil
}

// curves returns two lines over the points.
func curves(points []Point, nameA string, valueA func(Point) float64, nameB string, valueB func(Point) float64) []line {
	lines := []line{{name: nameA}, {name: nameB}}
	for _, p := range points {
		lines[0].points = append(lines[0].points, plotter.XY{X: p.At.Seconds(), Y: valueA(p)})
		lines[1].points = append(lines[1].points, plotter.XY{X: p.At.Seconds(), Y: valueB(p)})
	}
	return lines
}

// roleLines returns a line of steps for each role.
func roleLines(roles []RoleCounts, from, until time.Duration) []line {
	var lines []line
	for _, role := range []core.Role{core.RoleMixed, core.RolePrefill, core.RoleDecode} {
		l := line{name: role.String(), steps: true}
		for _, r := range roles {
			if r.At > until {
				break
			}
			l.points = append(l.points, plotter.XY{X: max(r.At, from).Seconds(), Y: float64(r.Count[role])})
		}
		if n := len(l.points); n > 0 {
			l.points = append(l.points, plotter.XY{X: until.Seconds(), Y: l.points[n-1].Y})
		}
		lines = append(lines, l)
	}
	return lines
}

func draw(file, title, unit string, lines []line) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.X.Label.Text = title, unit, "time (UTC)"
	p.X.Tick.Marker = plot.TimeTicks{Format: time.TimeOnly}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		curve, err := plotter.NewLine(l.points)
		if err != nil {
			return errors.Wrap(err, title)
		}
		curve.Color, curve.Width = palette[i], vg.Points(1.5)
		if l.steps {
			curve.StepStyle = plotter.PostStep
		}
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.Y.Min = 0
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), title)
}
