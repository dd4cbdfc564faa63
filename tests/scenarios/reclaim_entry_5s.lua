-- promise: 1, 4
-- An entry VM is reclaimed with a notice of 5 s.
require "reclaim_entry_vm"(5000)
