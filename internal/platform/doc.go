// Package platform holds the clients of the platform's APIs: the object API,
// the instance list, the cloud and the weight store. Every call goes through
// one budget (package budget). A write is conditional, leaves at most once, and
// its error says whether it may have taken effect.
package platform
