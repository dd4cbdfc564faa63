-- promise: 1, 4
-- An entry VM is reclaimed with a notice of 30 s: streams continue at another node, and pending calls are
-- answered.
require "reclaim_entry_vm"(30000)
