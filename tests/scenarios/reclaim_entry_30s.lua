-- promise: 1, 4
-- An entry VM is taken back with a notice of 30 s: streams go on elsewhere, waiting calls have their answers.
require "reclaim_entry_vm"(30000)
