# The fault matrix as tests: each fault once and twice at each step, one test for each protocol, and some random
# sequences. All pairs take minutes: `build/tests/faultmatrix`, or `ctest -C pairs`.
foreach(protocol call_plain call_stream non_idempotent_call load evict version_switch lease_take_over slot_hand_over
                 configuration_change drain engine_restart)
    add_test(NAME faults.${protocol} COMMAND faultmatrix --protocol ${protocol} --kinds short)
    add_test(NAME faults.pairs.${protocol} COMMAND faultmatrix --protocol ${protocol} --kinds pairs
             CONFIGURATIONS pairs)
endforeach()
add_test(NAME faults.random COMMAND faultmatrix --random 100 --seed 20261202)
