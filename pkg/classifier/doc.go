// Package classifier defines the numbered result codes and the outcomes that
// every refusal and failure carries.
package classifier
