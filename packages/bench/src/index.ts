export { findFreePort, findFreePorts } from './free-ports';
