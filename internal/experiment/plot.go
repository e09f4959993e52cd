package experiment

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/wcharczuk/go-chart/v2"
)

// Sizes of the plots in pixels.
const (
	plotWidth  = 900
	plotHeight = 420
	barWidth   = 70
)

// Plots writes one bar chart for each of several measured values, as PNG files, into a directory,
// which it creates if needed. It returns the paths of the files.
func Plots(dir, name string, rows []Row) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create directory for plots: %w", err)
	}
	var files []string
	for _, p := range []struct {
		file, title string
		value       func(Row) float64
	}{
		{"in-time", "complete responses on time, %", func(r Row) float64 { return 100 * r.InTime }},
		{"worth", "value received by callers, %", func(r Row) float64 { return 100 * r.Earned }},
		{"in-flight", "time in flight, weighted by value, s", func(r Row) float64 { return r.Exposure.Mean }},
		{"lost", "responses that broke off, %", func(r Row) float64 { return 100 * r.Lost }},
		{"longest-gap", "p99 of the longest gap in each response, ms", func(r Row) float64 { return float64(r.Result.LongestP99.Milliseconds()) }},
	} {
		file := filepath.Join(dir, name+"-"+p.file+".png")
		if err := writeBarChart(file, name+": "+p.title, rows, p.value); err != nil {
			return files, err
		}
		files = append(files, file)
	}
	return files, nil
}

// writeBarChart writes a bar chart with one bar for each row as a PNG file.
func writeBarChart(file, title string, rows []Row, value func(Row) float64) error {
	c := chart.BarChart{
		Title: title, Width: plotWidth, Height: plotHeight, BarWidth: barWidth,
		Background: chart.Style{Padding: chart.Box{Top: 40}},
		YAxis:      chart.YAxis{Range: &chart.ContinuousRange{Min: 0, Max: 1}},
	}
	for _, r := range rows {
		v := value(r)
		c.Bars = append(c.Bars, chart.Value{Label: r.Variant, Value: v})
		c.YAxis.Range.SetMax(max(c.YAxis.Range.GetMax(), v*1.05))
	}
	out, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("create plot %s: %w", file, err)
	}
	defer out.Close()
	if err := c.Render(chart.PNG, out); err != nil {
		return fmt.Errorf("write plot %s: %w", file, err)
	}
	return nil
}
