// Package bench regenerates the measurements of docs/MEASURES.md.
package bench
