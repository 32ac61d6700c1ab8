// Package scaling decides how many endpoints of each class a service should
// have in each data centre: enough of the reclaimable class that the loss of
// whole data centres leaves what the load needs, and on-demand ones only for
// what is missing. It is a plain decision: samples and the time in, wanted
// counts out.
package scaling
