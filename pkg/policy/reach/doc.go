// Package reach decides whether a VM reaches the upstreams of a service. One connection that
// fails looks the same whether its upstream has ended or the VM is partitioned from all of them;
// only failures at several upstreams, with no answer between them, tell the two apart.
package reach
