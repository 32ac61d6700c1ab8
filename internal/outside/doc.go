// Package outside holds the clients of the APIs around the product's own
// deployment: the object API, the instance list, the cloud and the weight store.
// Every call goes through one budget (package budget). A write is conditional,
// is sent at most once, and its error says whether it may have taken effect. The clients of
// the users' platform are in platform/ at the top of the tree.
package outside
