# sedgechute_library(NAME DEPENDS ...): every .cpp below the calling folder, one static library.
# sedgechute_plugin(NAME DEPENDS ...): the same as an object library, so that the linker keeps
# self-registering plug-ins that nothing refers to by name.
# sedgechute_program(NAME DEPENDS ...), sedgechute_test(LIBRARY DEPENDS ...): likewise.

add_library(sedgechute_options INTERFACE)
target_compile_options(sedgechute_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion
                                                    -Wno-sign-conversion -Wnon-virtual-dtor -Wno-restrict -g1)
target_include_directories(sedgechute_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(sedgechute_options INTERFACE Threads::Threads)
if(SEDGECHUTE_CHECK_LOCKS)
  target_compile_definitions(sedgechute_options INTERFACE SEDGECHUTE_CHECK_LOCKS=1)
endif()
if(SEDGECHUTE_SANITIZE)
  target_compile_options(sedgechute_options INTERFACE -fsanitize=address,undefined)
  target_link_options(sedgechute_options INTERFACE -fsanitize=address,undefined)
endif()
if(EXISTS /usr/bin/ld.lld)
  target_link_options(sedgechute_options INTERFACE -fuse-ld=lld)
endif()

function(sedgechute_sources out)
  file(GLOB found CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp
       ${CMAKE_CURRENT_SOURCE_DIR}/impl/*.cpp)
  set(${out} ${found} PARENT_SCOPE)
endfunction()

function(sedgechute_library name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  sedgechute_sources(sources)
  add_library(sedgechute_${name} STATIC ${sources})
  list(TRANSFORM ARG_DEPENDS REPLACE "^([a-z_]+)$" "sedgechute_\\1")
  target_link_libraries(sedgechute_${name} PUBLIC sedgechute_options ${ARG_DEPENDS})
endfunction()

function(sedgechute_plugin name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  sedgechute_sources(sources)
  add_library(sedgechute_${name} OBJECT ${sources})
  list(TRANSFORM ARG_DEPENDS REPLACE "^([a-z_]+)$" "sedgechute_\\1")
  target_link_libraries(sedgechute_${name} PUBLIC sedgechute_options ${ARG_DEPENDS})
endfunction()

function(sedgechute_program name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  sedgechute_sources(sources)
  add_executable(${name} ${sources})
  list(TRANSFORM ARG_DEPENDS REPLACE "^([a-z_]+)$" "sedgechute_\\1")
  target_link_libraries(${name} PRIVATE sedgechute_options ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

function(sedgechute_test name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  sedgechute_sources(sources)
  add_executable(test_${name} ${sources} ${CMAKE_SOURCE_DIR}/tests/main.cpp)
  list(TRANSFORM ARG_DEPENDS REPLACE "^([a-z_]+)$" "sedgechute_\\1")
  target_link_libraries(test_${name} PRIVATE sedgechute_options rapidcheck ${ARG_DEPENDS})
  set_target_properties(test_${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  add_test(NAME ${name} COMMAND test_${name})
endfunction()
