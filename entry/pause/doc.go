// Package pause keeps the times for which targets have asked in their responses that nothing new is sent to them.
package pause
