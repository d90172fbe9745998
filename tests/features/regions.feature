Feature: Requests are served only in the regions that their route and workspace allow

  Scenario: The platform's configuration names the regions of routes and workspaces
    Given a platform configuration that allows one route "north" and "south" and one tenant "north"
    Then the route's requests may be served in "north" and "south", those of the tenant in "north"
    And requests of other routes and tenants may be served anywhere

  Scenario: A configuration with regions of another type is rejected with all findings
    Given a platform configuration whose regions are a number and an empty name
    Then both faults are among its findings

  Scenario: The platform's settings name the region of the VM and of each zone
    Given platform settings of zone "n1" in "north" that name zone "s1" in "south"
    Then the router knows its own region and that of both zones

  Scenario: Settings that contradict themselves are rejected
    Given platform settings of zone "n1" in "north" that name zone "n1" in "south"
    Then the settings are rejected, with the line and both regions

  Scenario: A region that the settings leave out is taken from the zone
    Given platform settings of zone "n1" without a region that name zone "n1" in "north"
    Then the router's own region and that of its zone are "north"

  Scenario: Regions that are null are no limit
    Given a platform configuration whose regions are null
    Then requests of any route and tenant may be served anywhere

  Scenario: A router of a region that is not allowed refuses at once
    When requests that "south" alone may serve reach a router in "north"
    Then each is refused at once as "region_not_allowed", the call to a plain service too
    And its caller is answered 421

  Scenario: Where no allowed region has a server, requests are refused at once
    When requests that "north" alone may serve reach a router in "north" while all servers are in "south"
    Then each is refused at once as "no_server_in_region", the call to a plain service too
    And its caller is answered 503

  Scenario: Where route and workspace allow no region in common, callers are sent to no other router
    When requests that no region may serve reach a router in "north"
    Then each is refused at once as "no_region_allowed", the call to a plain service too
    And its caller is answered 403

  Scenario: A limited request waits for the back-off of its region's engines
    When a prompt that "north" alone may serve arrives while its engine backs off for 0.3 s, and that in "south" does not
    Then it runs on the engine in "north" after the back-off

  Scenario: Prompts are read, cached and fetched in allowed regions only
    When prompts that "north" alone may serve arrive among others, with the same beginnings
    Then each of them ran on an engine in "north", and fetched memory from none in "south"
    And prompts without a limit ran in both regions

  Scenario: Calls run on plain servers of allowed regions only
    When calls that "north" alone may serve arrive among others, more than its servers have slots for
    Then each of them ran on a server in "north", once
    And calls without a limit ran in both regions

  Scenario: A waiting call is refused once its region has lost its last server
    When a call that "north" alone may serve waits there while the last server in "north" is withdrawn
    Then it is refused as "no_server_in_region" within 0.3 s

  Scenario Outline: Owners with many servers elsewhere do not offer them again and again
    When a call that "north" alone may serve waits at each of <routers> routers, for 1 server in "north" that is full and <elsewhere> in "south"
    Then within 0.1 s at most <grants> slots are granted and given back, and <bids> bids are sent
    And each call that "north" alone may serve is started once, in "north"

    Examples:
      | routers | elsewhere | grants | bids |
      | 1       | 2         | 0      | 0    |
      | 24      | 16        | 0      | 720  |

  Scenario: Of calls with and without a limit, those with one leave slots elsewhere to the others
    When 1 call without a limit and 12 that "north" alone may serve wait at a router, for 1 server in "north" that is full and 4 in "south"
    Then within 0.1 s at most 24 slots are granted and given back, and 60 bids are sent
    And the call without a limit is started once

  # Each of the 8 servers at most once between two refreshes, of which up to two fall into 0.1 s.
  Scenario: Owners that know another region of a zone offer its servers a bounded number of times
    When a call that "north" alone may serve waits at a router, while all others take 8 servers in "south" to be in "north"
    Then within 0.1 s at most 24 slots are granted and given back, and 60 bids are sent
    And each call that "north" alone may serve is started once, in "north"
