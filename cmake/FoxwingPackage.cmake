# foxwing_package(NAME SOURCES ... DEPS ... TESTS ...)
#
# One vertical slice: the library foxwing_NAME (foxwing::NAME to others), its public headers under
# include/foxwing/NAME, an install rule, and one GoogleTest program made of TESTS.
function(foxwing_package name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;PRIVATE_DEPS;TESTS;TEST_DEPS" ${ARGN})
    add_library(foxwing_${name} STATIC ${ARG_SOURCES})
    add_library(foxwing::${name} ALIAS foxwing_${name})
    set_target_properties(foxwing_${name} PROPERTIES EXPORT_NAME ${name})
    target_include_directories(foxwing_${name} PUBLIC
        $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
    target_link_libraries(foxwing_${name} PUBLIC ${ARG_DEPS} PRIVATE ${ARG_PRIVATE_DEPS})
    install(TARGETS foxwing_${name} EXPORT foxwingTargets
        ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
    install(DIRECTORY include/foxwing DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
    if(ARG_TESTS AND FOXWING_TESTS)
        add_executable(${name}_test ${ARG_TESTS})
        target_link_libraries(${name}_test PRIVATE foxwing_${name} ${ARG_TEST_DEPS} GTest::gtest_main)
        add_test(NAME ${name} COMMAND ${name}_test)
        set_tests_properties(${name} PROPERTIES TIMEOUT 600
            WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
    endif()
endfunction()
