// Package config decodes, checks, resolves, compares, applies and loads the settings tree.
package config
