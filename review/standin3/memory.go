package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// memoryOf returns the resident memory of a process in bytes.
func memoryOf(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// guardMemory kills the process of a host, as the platform does, when its memory exceeds the limit of its machine, until done is closed.
// It returns how often that was, and the largest memory seen.
func (h *host) guardMemory(done <-chan struct{}) (kills int, most int64) {
	for {
		select {
		case <-done:
			return kills, most
		case <-time.After(10 * time.Millisecond):
		}
		h.mutex.Lock()
		pid := h.cmd.Process.Pid
		h.mutex.Unlock()
		memory := memoryOf(pid)
		most = max(most, memory)
		if memory > h.bed.machine.memoryMB<<20 {
			h.bed.log.printf("host %s: %d MB exceed the %d MB of the machine, so the platform kills the process", h.name, memory>>20, h.bed.machine.memoryMB)
			h.signal(syscall.SIGKILL)
			kills++
			time.Sleep(time.Second)
		}
	}
}
