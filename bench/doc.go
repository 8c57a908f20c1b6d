// Package bench produces the measurements of docs/MEASURES.md and
// docs/CAPACITY.md. It compares steering policies on a queueing model, runs
// fleets of entry hosts in virtual time to measure dissemination and control
// traffic, and measures processor time and memory. Only its own tests use it;
// they print the tables.
package bench
