// Package config decodes, validates, compares, applies and loads settings trees and resolves their policies.
package config
