# Functions that declare the project's targets. Sources and tests are found by globbing, so that new files don't
# have to be listed.

# ivypier_library(<name> DEPENDS <targets>): declares the library of the current folder, installed as ivypier::<name>,
# and its test program (see ivypier_tests).
function(ivypier_library name)
    cmake_parse_arguments(argument "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(ivypier_${name} STATIC ${sources})
    add_library(ivypier::${name} ALIAS ivypier_${name})
    set_target_properties(ivypier_${name} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(ivypier_${name} PUBLIC
        $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/libraries> $<INSTALL_INTERFACE:include/ivypier>)
    target_link_libraries(ivypier_${name} PUBLIC ${argument_DEPENDS})
    install(TARGETS ivypier_${name} EXPORT ivypier ARCHIVE DESTINATION lib)
    install(DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}/ DESTINATION include/ivypier/${name} FILES_MATCHING
        PATTERN "*.h" PATTERN "tests" EXCLUDE)
    ivypier_tests(${name} ivypier_${name})
endfunction()

# ivypier_tests(<name> <targets>): declares the test program of the sources in tests/ of the current folder. Tests
# tagged [promise-N] run as ctest test <name>.promise-N with the labels "promise" and "promise-N", those tagged [slow]
# as ctest test <name>.slow, those tagged [red], which fail for a known fault, as ctest test <name>.red, all others as
# ctest test <name>; the last three have the label "unit".
function(ivypier_tests name)
    file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(NOT tests OR NOT IVYPIER_TESTS)
        return()
    endif()
    add_executable(ivypier-${name}-tests ${tests})
    target_link_libraries(ivypier-${name}-tests PRIVATE ${ARGN} ivypier_test_main)
    add_test(NAME ${name} COMMAND ivypier-${name}-tests ~[promise]~[slow]~[red]~[.])
    set_tests_properties(${name} PROPERTIES LABELS unit)
    set(numbers "")
    foreach(test ${tests})
        file(STRINGS ${test} slow REGEX "\\[slow\\]" LIMIT_COUNT 1)
        if(slow AND NOT TEST ${name}.slow)
            add_test(NAME ${name}.slow COMMAND ivypier-${name}-tests "[slow]")
            set_tests_properties(${name}.slow PROPERTIES LABELS unit)
        endif()
        file(STRINGS ${test} red REGEX "\\[red\\]" LIMIT_COUNT 1)
        if(red AND NOT TEST ${name}.red)
            add_test(NAME ${name}.red COMMAND ivypier-${name}-tests "[red]")
            set_tests_properties(${name}.red PROPERTIES LABELS unit)
        endif()
        file(STRINGS ${test} lines REGEX "\\[promise-[1-7]\\]")
        foreach(line ${lines})
            string(REGEX MATCH "promise-[1-7]" number "${line}")
            list(APPEND numbers ${number})
        endforeach()
    endforeach()
    list(REMOVE_DUPLICATES numbers)
    foreach(number ${numbers})
        add_test(NAME ${name}.${number} COMMAND ivypier-${name}-tests "[${number}]")
        set_tests_properties(${name}.${number} PROPERTIES LABELS "promise;${number}")
    endforeach()
endfunction()

# ivypier_program(<name> DEPENDS <targets>): declares a program of the sources in the current folder.
function(ivypier_program name)
    cmake_parse_arguments(argument "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${argument_DEPENDS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
