/** The pool alone: the index of undici also loads its fetch and WebSocket. */
declare module 'undici/lib/dispatcher/pool.js' {
  import {Pool} from 'undici';
  export default Pool;
}
