-- promise: 1, 3, 4
-- The notice says 5 s, and the VM is gone half-way: streams and completions are answered all the same, and no
-- quote runs twice or is reported as not run when it ran.
require "reclaim_entry_vm"(5000, 2.5)
