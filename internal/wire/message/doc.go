// Package message contains the generated code of the RPC services and messages between the processes of oriolehub.
package message
