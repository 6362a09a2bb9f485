package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
)

// designHosts is the number of hosts that the system is designed for.
const designHosts = 690

func main() {
	hosts := flag.Float64("hosts", designHosts, "number of hosts to extrapolate to in the last column")
	flag.Parse()
	if err := run(os.Stdin, os.Stdout, *hosts); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// run reads benchmark output from in and prints a table of all series with at least two points, extrapolated to hosts.
func run(in io.Reader, out io.Writer, hosts float64) error {
	all := seriesSet{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		all.add(lines.Text())
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(out, "| series | points | base | slope | residual | at %g |\n|---|---|---|---|---|---|\n", hosts); err != nil {
		return err
	}
	for _, name := range all.names() {
		s := all[name]
		if len(s) < 2 {
			continue
		}
		l := fit(s)
		if _, err := fmt.Fprintf(out, "| %s | %s | %.4g | %.4g | %.2g | %.4g |\n", name, s, l.base, l.slope, l.residual, l.valueAt(hosts)); err != nil {
			return err
		}
	}
	return nil
}
