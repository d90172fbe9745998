Feature: A stream goes on only at the software version that began it
  # Guards against: engines of several software versions served side by side, and streams that broke
  # off went on at any of them: 28 streams of one day held events of two versions, which do not fit
  # together. A router did not know the version that had begun a stream that a client took up, and
  # did not keep to it inside one answer either.

  @nodes.4.versions
  Scenario Outline: Streams that break off keep to one software version wherever they go on
    Given <count> of the 8 engines run software version "v2"
    When clients stream for 20 seconds while <trouble>
    Then no stream holds events of two software versions
    And no stream lacks an event or holds one twice

    Examples:
      | count | trouble                                 |
      | 4     | engines end                             |
      | 4     | engines end and routers are killed      |
      | 2     | engines end                             |

  @nodes.4.versions
  Scenario: Streams that clients take up go on, though routers and engines end
    Given 4 of the 8 engines run software version "v2"
    When clients stream for 20 seconds while engines end and routers are killed
    Then streams that are taken up go on at least half as often as new ones begin

  # Guards against: an engine started again under its id at another software version, which its entry
  # told later; streams were taken to have begun at the version that was still listed.
  @nodes.4.versions
  Scenario: Engines that start again under their id at another version mix no streams
    Given 4 of the 8 engines run software version "v2"
    And engines start again under their id at the other version, which their entries tell 0.6 s later
    When clients stream for 20 seconds while engines end
    Then no stream holds events of two software versions

  Scenario: Streams keep to their version in any history with lost messages and killed routers
    Then in any history, no stream goes on at another version, and enough of those taken up go on

  Scenario: A router that nobody can tell the version of a stream refuses to take it up
    Given a fleet of 4 routers and engines of two software versions
    When a stream begins at router 1 and all other routers are cut off from router 2
    Then router 2 refuses to take it up as "stream_origin_unknown" within 0.6 seconds
    And router 3 takes it up at the version that began it

  Scenario: A stream whose version has no server left is refused at once
    Given a fleet of 4 routers and engines of two software versions
    When a stream begins at router 1 and all servers of its version leave
    Then router 2 refuses to take it up as "no_server_of_version" within 0.1 seconds

  # Guards against: the keepers of a stream's version were gone, or had restarted without their state
  # unnoticed, while the router that had begun the stream was still there to tell their successors.
  Scenario Outline: The version of a stream is known to the keepers that follow
    Given a fleet of 6 routers and engines of two software versions
    When a stream begins at router 1 and every other router <trouble>, one after the other
    And router 1 is killed for good
    Then each other router takes it up at the version that began it

    Examples:
      | trouble                        |
      | is killed and starts again     |
      | restarts before anyone notices |

  Scenario: A stream that does not name its first attempt goes on only where one version serves
    Given a fleet of 4 routers and engines of two software versions
    When a stream begins at router 1 and its client does not name the attempt that began it
    Then router 2 refuses to take it up as "stream_origin_unknown" within 0.1 seconds
    When only engines of the version that began it are listed
    Then router 2 takes it up at the version that began it

  Scenario: Keepers are found without weighing all routers, and few keys move
    Then a router that joins or departs changes few keepers, and all routers keep alike many keys

  Scenario: A server that has ended carries no stream on until its entry tells of it anew
    Given a fleet of 4 routers and engines of two software versions
    When a stream begins at router 1 and its engine ends and is back under its name
    Then router 2 takes it up at another engine of the version that began it
    And a stream that begins at the engine that ended cannot be taken up for 5 seconds
