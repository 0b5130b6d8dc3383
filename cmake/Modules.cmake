# Helpers for the layout libs/<duty>/{include,src,tests} and tools/<name>.

find_package(Threads REQUIRED)

# GCC 12 reports overlaps that cannot happen in std::string under -O3 (its bug
# 105651).
set(HYSSOPCROSS_WARNINGS -Wall -Wextra -Wpedantic -Werror)
if(CMAKE_CXX_COMPILER_ID STREQUAL GNU)
  list(APPEND HYSSOPCROSS_WARNINGS -Wno-restrict)
endif()

# hyssopcross_library(<duty> [DEPS <target>...]) builds libs/<duty> from its
# src folder as hyssopcross_<duty>, and its tests folder, where there is one,
# as <duty>_tests.
function(hyssopcross_library Name)
  cmake_parse_arguments(Arg "" "" "DEPS;TEST_DEPS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS src/*.cpp)
  set(Target hyssopcross_${Name})
  if(Sources)
    add_library(${Target} STATIC ${Sources})
    target_include_directories(${Target} PUBLIC include PRIVATE src)
    target_compile_options(${Target} PRIVATE ${HYSSOPCROSS_WARNINGS})
    target_link_libraries(${Target} PUBLIC ${Arg_DEPS})
  else()
    add_library(${Target} INTERFACE)
    target_include_directories(${Target} INTERFACE include)
    target_link_libraries(${Target} INTERFACE ${Arg_DEPS})
  endif()
  file(GLOB Tests CONFIGURE_DEPENDS tests/*.cpp)
  if(Tests AND NOT HYSSOPCROSS_ONLY_ENTRY)
    add_executable(${Name}_tests ${Tests})
    target_include_directories(${Name}_tests PRIVATE src)
    target_compile_options(${Name}_tests PRIVATE ${HYSSOPCROSS_WARNINGS})
    target_link_libraries(${Name}_tests PRIVATE ${Target} ${Arg_TEST_DEPS})
    add_test(NAME ${Name} COMMAND ${Name}_tests)
  endif()
endfunction()

# hyssopcross_tool(<name> [DEPS <target>...]) builds the program <name> from
# the sources beside the calling CMakeLists.txt.
function(hyssopcross_tool Name)
  cmake_parse_arguments(Arg "" "" "DEPS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${Name} ${Sources})
  target_compile_options(${Name} PRIVATE ${HYSSOPCROSS_WARNINGS})
  target_link_libraries(${Name} PRIVATE ${Arg_DEPS})
  set_target_properties(${Name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
