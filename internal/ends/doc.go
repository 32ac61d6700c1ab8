// Package ends finds out which endpoints crashed, of those whose connections
// ended, and under which requests.
package ends
