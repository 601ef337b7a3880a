# Unit tests: one program for each tests/unit/NAME_test.cpp. Fixed seeds, so that every run gives the same verdict.
set(TEST_ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=200")

function(anvilscale_test source)
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_compile_options(${name} PRIVATE ${ANVILSCALE_WARNINGS})
    target_link_libraries(${name} PRIVATE ${ARGN} ${RAPIDCHECK_LIBRARY} GTest::gtest GTest::gtest_main)
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests ${PROJECT_SOURCE_DIR}/src)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/tests)
    gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST WORKING_DIRECTORY ${PROJECT_SOURCE_DIR}
                         XML_OUTPUT_DIR ${PROJECT_BINARY_DIR}/test-results
                         PROPERTIES ENVIRONMENT "${TEST_ENVIRONMENT};ANVILSCALE_BUILD=${PROJECT_BINARY_DIR}")
endfunction()

file(GLOB unit_tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/unit/*_test.cpp)
foreach(source ${unit_tests})
    anvilscale_test(${source} anvilscale_daemon anvilscale_ctl)
endforeach()

# Preloaded into daemons by process tests.
add_library(shifted_clock SHARED ${PROJECT_SOURCE_DIR}/tests/support/shifted_clock.cpp)
target_compile_options(shifted_clock PRIVATE ${ANVILSCALE_WARNINGS})
target_link_libraries(shifted_clock PRIVATE ${CMAKE_DL_LIBS})
set_target_properties(shifted_clock PROPERTIES LIBRARY_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/tests)

# Tests with the real processes.
file(GLOB process_tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/process/*_test.cpp)
foreach(source ${process_tests})
    anvilscale_test(${source} anvilscale_daemon anvilscale_ctl)
endforeach()

# The soak with the real processes plays one seed; scripts/soak.sh plays others.
file(GLOB soak_tests CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/soak/*_test.cpp)
foreach(source ${soak_tests})
    anvilscale_test(${source} anvilscale_daemon anvilscale_ctl)
endforeach()

# The fault matrix drives the decision objects through an in-memory link in virtual time.
file(GLOB fault_sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/faults/*.cpp)
if(fault_sources)
    add_executable(faultmatrix ${fault_sources})
    target_compile_options(faultmatrix PRIVATE ${ANVILSCALE_WARNINGS})
    target_include_directories(faultmatrix PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(faultmatrix PRIVATE ${DECISIONS} ${RAPIDCHECK_LIBRARY})
    set_target_properties(faultmatrix PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/tests)
    include(${PROJECT_SOURCE_DIR}/tests/faults/faults.cmake OPTIONAL)
endif()

# The capacity bench runs at small sizes, so that it cannot rot between two measurements.
add_test(NAME slopes_at_small_sizes COMMAND slopes --quick --page)

# The demo in its short form: both deployments with all processes, judged by the endpoints' records.
add_test(NAME demo_short COMMAND ${PROJECT_SOURCE_DIR}/scripts/demo.sh --short --built ${PROJECT_BINARY_DIR}
         WORKING_DIRECTORY ${PROJECT_SOURCE_DIR})
set_tests_properties(demo_short PROPERTIES TIMEOUT 300)
